package mesh

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sliphead/internal/fault"
	"sliphead/lab/link"
	"sliphead/lab/machines"
	"sliphead/lab/process"
	"sliphead/lab/source"
)

// Options configures a mesh.
type Options struct {
	NodeBinary string // program with the node command
	LabBinary  string // this program, for the workers
	Directory  string // for settings files and logs; created if missing
	Octet      int    // second octet of the loopback addresses, 1 to 127; 0 selects a free one
	Scale      Scale
	// WithoutLinks connects nodes directly over loopback, without delays, loss or
	// cuts.
	WithoutLinks bool
	Seed         uint64 // of the random choice of lost datagrams
}

// Mesh is a running mesh.
type Mesh struct {
	Plan     *Plan
	Source   *source.Service
	Machines *machines.List
	Links    *link.Network
	Record   *Record
	Nodes    []*Node
	Workers  []*Worker

	options          Options
	layout           layout
	launcher         *process.Launcher
	servers          []*http.Server
	octetReservation net.Listener
	closeOnce        sync.Once
}

// Start starts the stand-ins, links, workers and nodes of a plan. On an error
// it stops everything that it has started.
func Start(plan *Plan, options Options) (*Mesh, error) {
	plan = plan.Scaled(options.Scale)
	octet, reserved, err := reserveOctet(options.Octet)
	if err != nil {
		return nil, err
	}
	started := &Mesh{
		Plan:             plan,
		Source:           source.New(),
		Machines:         machines.New(time.Duration(plan.MachineListLagMS)*time.Millisecond, time.Now),
		Record:           newRecord(),
		options:          options,
		layout:           layout{octet: octet, zones: zoneNames(plan), withoutLinks: options.WithoutLinks},
		octetReservation: reserved,
		launcher:         process.NewLauncher(),
	}
	if err := started.startAll(); err != nil {
		started.Close()
		return nil, err
	}
	return started, nil
}

func zoneNames(plan *Plan) []string {
	names := make([]string, 0, len(plan.Zones))
	for _, zone := range plan.Zones {
		names = append(names, zone.Name)
	}
	return names
}

func (m *Mesh) startAll() error {
	const ownerOnly = 0o700
	if err := os.MkdirAll(m.options.Directory, ownerOnly); err != nil {
		return fault.Wrap(err, fault.Settings, "choose a directory that can be written", "create %s", m.options.Directory)
	}
	planned := m.Plan.nodes(m.layout, m.options.Scale.Edges)
	steps := []func([]*PlannedNode) error{m.startPlatform, m.startLinks, m.startWorkers, m.startNodes}
	for _, step := range steps {
		if err := step(planned); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform serves the configuration, the secrets and the machine list.
func (m *Mesh) startPlatform(planned []*PlannedNode) error {
	for name, value := range m.Plan.Secrets {
		m.Source.SetSecret(name, value)
	}
	listed := make([]machines.Machine, 0, len(planned))
	for _, node := range planned {
		listed = append(listed, machineOf(node, machines.StateLive))
	}
	m.Machines.Seed(listed...)
	if _, err := m.Source.Publish(m.Plan.Document()); err != nil {
		return err
	}
	if err := m.serve(m.layout.platform(portSource), m.Source); err != nil {
		return err
	}
	return m.serve(m.layout.platform(portMachines), m.Machines)
}

func machineOf(node *PlannedNode, state machines.State) machines.Machine {
	return machines.Machine{
		Name:    node.Name,
		Zone:    node.Zone,
		Region:  node.Region,
		Service: node.Service,
		Peer:    node.AdvertisedPeer,
		State:   state,
	}
}

func (m *Mesh) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "stop the other lab that uses this address, or give another --octet", "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	m.servers = append(m.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// startLinks opens a link at every advertised address.
func (m *Mesh) startLinks(planned []*PlannedNode) error {
	standard := link.Conditions{Delay: milliseconds(m.Plan.DelayBetweenZonesMS)}
	m.Links = link.New(m.layout.zoneOf, standard, m.options.Seed)
	if m.options.WithoutLinks {
		return nil
	}
	for _, zone := range m.layout.zones {
		m.Links.Set(link.Pair{From: zone, To: zone}, link.Conditions{})
		toClients := link.Conditions{Delay: milliseconds(m.Plan.DelayToClientsMS)}
		m.Links.Set(link.Pair{From: zone, To: clientsZone}, toClients)
		m.Links.Set(link.Pair{From: clientsZone, To: zone}, toClients)
	}
	for _, port := range []int{portSource, portMachines} {
		if err := m.Links.Streams(m.layout.advertisedPlatform(port), m.layout.platform(port), platformZone); err != nil {
			return err
		}
	}
	for _, node := range planned {
		if err := m.linkNode(node); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) linkNode(node *PlannedNode) error {
	if err := m.Links.Datagrams(node.AdvertisedPeer, node.Peer, node.Zone); err != nil {
		return err
	}
	streams := [][2]string{{node.AdvertisedPeer, node.Peer}, {node.AdvertisedInbound, node.Inbound}, {node.Public, node.Outbound}}
	for _, each := range streams {
		if each[0] == "" {
			continue
		}
		if err := m.Links.Streams(each[0], each[1], node.Zone); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) startWorkers(planned []*PlannedNode) error {
	for _, node := range planned {
		if node.Worker == nil {
			continue
		}
		worker := &Worker{PlannedWorker: *node.Worker, mesh: m, outbound: node.Outbound}
		if err := worker.start(); err != nil {
			return err
		}
		m.Workers = append(m.Workers, worker)
	}
	return nil
}

func (m *Mesh) startNodes(planned []*PlannedNode) error {
	since := time.Now().Add(maxStartTime)
	for _, each := range planned {
		node := &Node{PlannedNode: each, mesh: m}
		path, err := writeSettings(m.options.Directory, m.Plan.Profile, m.layout, since, each)
		if err != nil {
			return err
		}
		node.settings = path
		m.Nodes = append(m.Nodes, node)
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until every node reports that it is ready.
func (m *Mesh) WaitReady(ctx context.Context) error {
	group, groupContext := errgroup.WithContext(ctx)
	for _, node := range m.Nodes {
		group.Go(func() error { return node.WaitReady(groupContext) })
	}
	return group.Wait()
}

// Node returns a node by name, nil if there is none.
func (m *Mesh) Node(name string) *Node {
	for _, node := range m.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// NodeNames returns the names of all nodes.
func (m *Mesh) NodeNames() []string {
	names := make([]string, 0, len(m.Nodes))
	for _, node := range m.Nodes {
		names = append(names, node.Name)
	}
	return names
}

// Edges returns the nodes that serve callers.
func (m *Mesh) Edges() []*Node {
	var edges []*Node
	for _, node := range m.Nodes {
		if node.Worker == nil {
			edges = append(edges, node)
		}
	}
	return edges
}

// CutZone blocks (cut) or restores (not cut) the links of a zone to all other
// zones and, with platformToo, to the platform. Callers still reach the zone.
func (m *Mesh) CutZone(zone string, platformToo, cut bool) {
	for _, other := range m.layout.zones {
		if other != zone {
			m.Links.Cut(zone, other, cut)
		}
	}
	if platformToo {
		m.Links.Cut(zone, platformZone, cut)
	}
}

// ClientAddress returns the source address that callers must dial from, by which
// links identify them.
func (m *Mesh) ClientAddress() netip.Addr { return m.layout.clientAddress() }

// Close stops everything that the mesh started. Calls after the first do nothing.
func (m *Mesh) Close() {
	m.closeOnce.Do(func() {
		for _, node := range m.Nodes {
			node.Kill()
		}
		for _, worker := range m.Workers {
			worker.kill()
		}
		if m.Links != nil {
			m.Links.Close()
		}
		for _, server := range m.servers {
			_ = server.Close()
		}
		m.launcher.Close()
		_ = m.octetReservation.Close()
	})
}

func (m *Mesh) logFile(name string) (*os.File, error) {
	path := filepath.Join(m.options.Directory, name+".log")
	const ownerOnly = 0o600
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
	return file, fault.Wrap(err, fault.Settings, "choose a directory that can be written", "open %s", path)
}
