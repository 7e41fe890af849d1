package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// mesh is a small deployment: a store, and machines that each hold a worker and a node.
type mesh struct {
	record   *record
	store    *store
	machines []*machine
	folder   string // temporary folder with settings and logs
	ports    ports
	version  int // of the configuration that was written last
}

// ports are alike on all machines.
type ports struct{ peer, inbound, outbound, ready, app string }

// machine is one sidecar machine at a loopback address of its own.
type machine struct {
	mesh                    *mesh
	name, ip, zone, service string
	worker                  *worker
	node                    *exec.Cmd
	log                     *os.File
}

var zones = []string{"kakkanad-a", "kakkanad-b", "edappally", "vyttila"}

// newMesh starts a store and, for each service name, a machine with a worker of that service.
func newMesh(record *record, services ...string) (*mesh, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	m := &mesh{record: record, folder: folder}
	if m.store, err = newStore(network + "250"); err != nil {
		return nil, err
	}
	for index, service := range services {
		m.machines = append(m.machines, &machine{
			mesh: m, name: fmt.Sprintf("sidecar-%d", index+1), ip: network + strconv.Itoa(index+1), zone: zones[index%len(zones)], service: service,
		})
	}
	if m.ports, err = m.freePorts(); err != nil {
		return nil, err
	}
	for _, each := range m.machines {
		if each.worker, err = newWorker(record, "i-"+each.name, each.service, each.zone, net.JoinHostPort(each.ip, m.ports.app)); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// freePorts returns ports below the range of outgoing connections that are free on all machines.
func (m *mesh) freePorts() (ports, error) {
	const lowest, highest, wanted = 12000, 32000, 5
	var found []string
	for tries := 0; len(found) < wanted; tries++ {
		if tries > 1000 {
			return ports{}, errors.New("no free ports")
		}
		port := strconv.Itoa(lowest + rand.IntN(highest-lowest))
		if m.isFree(port) {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func (m *mesh) isFree(port string) bool {
	for _, each := range m.machines {
		listener, err := net.Listen("tcp", net.JoinHostPort(each.ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// settingsText is deploy/node.yaml.tmpl as the platform fills it for the small deployment
// chandrika-kochi.
const settingsText = `name: %[1]s
zone: %[2]s
region: kochi
service: %[3]s
worker:
  name: %[1]s
  address: %[4]s:%[9]s
listen:
  peer: %[4]s:%[5]s
  inbound: %[4]s:%[6]s
  outbound: %[4]s:%[7]s
  admin: %[4]s:%[8]s
source:
  store: %[10]s
  freshness: 2s
security:
  plain: true
limits:
  maxConnections: 1700
  linkMbps: 1000.0
drain:
  timeout: 6s
  worker: 2s
retry:
  ratio: 0.2
  slack: 64
regions:
  kakkanad-a: kochi
  kakkanad-b: kochi
  edappally: kochi
  vyttila: kochi
`

// start records all workers in the store and starts all nodes with the command of the deploy
// file. It returns once each node reports that it is ready and all workers are known everywhere.
func (m *mesh) start() error {
	for _, each := range m.machines {
		m.store.put("servers/"+each.worker.id, each.worker.entry("ready"))
	}
	for _, each := range m.machines {
		if err := each.startNode(); err != nil {
			return err
		}
	}
	for _, each := range m.machines {
		if err := each.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // configApplyS
	return nil
}

func (m *machine) startNode() error {
	common := m.mesh.ports
	file := filepath.Join(m.mesh.folder, m.name+".yaml")
	text := fmt.Sprintf(settingsText, m.name, m.zone, m.service, m.ip, common.peer, common.inbound, common.outbound, common.ready, common.app, m.mesh.store.address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.mesh.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.node = exec.Command("target/sliphead", "node")
	m.node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SLIPHEAD_NODE_FILE=" + file}
	m.node.Stdout, m.node.Stderr = log, log
	m.node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m.node.Start()
}

func (m *machine) outbound() string { return net.JoinHostPort(m.ip, m.mesh.ports.outbound) }

// awaitReady waits until the node answers 200 to the platform's readiness question.
func (m *machine) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(m.ip, m.mesh.ports.ready)+"/ready", nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready within 20 s", m.name)
}

// close ends all processes that the mesh has started, and deletes its folder.
func (m *mesh) close() {
	for _, each := range m.machines {
		if each.node != nil && each.node.Process != nil {
			_ = each.node.Process.Kill()
			_ = each.node.Wait()
		}
		if each.log != nil {
			_ = each.log.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(m.folder)
	} else {
		m.record.line("logs in %s", m.folder)
	}
}

// route is one route of the operator's configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Type        string  `json:"type"`
	TimeoutS    float64 `json:"timeoutS"`
	TargetS     float64 `json:"targetLatencyS"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
}

// configure writes the next version of the configuration. The store has acknowledged it when
// configure returns.
func (m *mesh) configure(routes ...route) {
	m.version++
	services := []map[string]any{}
	for _, name := range []string{"storefront", "prepress"} {
		services = append(services, map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
	}
	m.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", m.version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	m.record.line("configuration %08x acknowledged by the store", m.version)
	for _, each := range routes {
		m.record.line("  route %s: host %s prefix %s type %s service %s maxAttempts %d", each.Name, each.Host, each.PathPrefix, each.Type, each.Service, each.MaxAttempts)
	}
}
