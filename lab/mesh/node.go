package mesh

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"sliphead/internal/fault"
	"sliphead/lab/machines"
	"sliphead/lab/process"
)

// Node is a node with its process, which can be stopped and restarted. Its methods
// may be called concurrently.
type Node struct {
	*PlannedNode
	mesh     *Mesh
	settings string
	mutex    sync.Mutex
	running  *process.Process // nil when it has never been started
	log      *os.File
}

// Status holds the fields of a node's status that the lab uses.
type Status struct {
	Name    string `json:"name"`
	Version struct {
		Epoch    uint64 `json:"epoch"`
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
	} `json:"version"`
	Distribution struct {
		Reader bool `json:"reader"`
	} `json:"distribution"`
	Ready                bool  `json:"ready"`
	ControlBytesSent     int64 `json:"controlBytesSent"`
	ControlBytesReceived int64 `json:"controlBytesReceived"`
}

// Start starts the node's process as a new incarnation.
func (n *Node) Start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.log == nil {
		log, err := n.mesh.logFile(n.Name)
		if err != nil {
			return err
		}
		n.log = log
	}
	incarnation := n.mesh.Record.recordStart(n.Name)
	onLine := func(text string) { n.mesh.Record.addLine(n.Name, incarnation, text) }
	running, err := n.mesh.launcher.Start(n.Name, n.log, onLine, nil, n.mesh.options.NodeBinary, "node", "--settings", n.settings)
	if err != nil {
		return err
	}
	n.running = running
	return nil
}

func (n *Node) process() *process.Process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.running
}

// Kill kills the process (SIGKILL) and returns once it has exited.
func (n *Node) Kill() {
	if running := n.process(); running != nil {
		running.Kill()
	}
}

// Freeze suspends the process (SIGSTOP).
func (n *Node) Freeze() { n.signal(syscall.SIGSTOP) }

// Thaw resumes a suspended process (SIGCONT).
func (n *Node) Thaw() { n.signal(syscall.SIGCONT) }

func (n *Node) signal(kind syscall.Signal) {
	if running := n.process(); running != nil {
		running.Signal(kind)
	}
}

// Drain requests a planned shutdown as the platform does: it marks the node as
// leaving in the machine list and sends SIGTERM.
func (n *Node) Drain() {
	n.mesh.Machines.Set(machineOf(n.PlannedNode, machines.StateLeaving))
	n.signal(syscall.SIGTERM)
}

// WaitExit waits until the process has exited and returns its exit code, or
// false if it still runs when the timeout has passed.
func (n *Node) WaitExit(timeout time.Duration) (int, bool) {
	return n.process().WaitFor(timeout)
}

// Running reports whether the process was started and has not exited.
func (n *Node) Running() bool {
	running := n.process()
	if running == nil {
		return false
	}
	select {
	case <-running.Exited():
		return false
	default:
		return true
	}
}

// adminClient sends requests to the admin addresses of nodes and to workers. None of
// them may take long.
var adminClient = &http.Client{Timeout: 2 * time.Second}

// pollInterval is the time between two requests or dials while waiting.
const pollInterval = 50 * time.Millisecond

// WaitReady waits until the node reports that it is ready.
func (n *Node) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if n.Ready(ctx) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-n.process().Exited():
			return fault.New(fault.Unready, "read its log in the lab's directory", "node %s exited before it was ready", n.Name)
		case <-ctx.Done():
			return fault.New(fault.Unready, "read its log in the lab's directory", "node %s did not become ready in time", n.Name)
		}
	}
}

// Ready requests the node's readiness. Any failure counts as not ready.
func (n *Node) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Admin+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Status requests the node's status.
func (n *Node) Status() (Status, error) {
	var status Status
	err := getJSON("http://"+n.Admin+"/status", &status)
	return status, err
}

func getJSON(url string, target any) error {
	const remedy = "read the log of the process in the lab's directory"
	response, err := adminClient.Get(url)
	if err != nil {
		return fault.Wrap(err, fault.Unready, remedy, "send a request to %s", url)
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(target)
	return fault.Wrap(err, fault.Unready, remedy, "read the response of %s", url)
}
