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

// Node is a node's process, which may be ended and started again.
type Node struct {
	*PlannedNode
	mesh     *Mesh
	settings string
	mutex    sync.Mutex
	running  *process.Process // nil when it has never been started
	log      *os.File
}

// Status is what the lab reads of a node's status.
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

// Start starts the node's process.
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
	life := n.mesh.Record.started(n.Name)
	onLine := func(text string) { n.mesh.Record.line(n.Name, life, text) }
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

// Kill ends the process at once (SIGKILL), and returns when it has gone.
func (n *Node) Kill() {
	if running := n.process(); running != nil {
		running.Kill()
	}
}

// Freeze stops the process's execution (SIGSTOP).
func (n *Node) Freeze() { n.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process (SIGCONT).
func (n *Node) Thaw() { n.signal(syscall.SIGCONT) }

func (n *Node) signal(kind syscall.Signal) {
	if running := n.process(); running != nil {
		running.Signal(kind)
	}
}

// Drain asks for a planned stop (SIGTERM), as the platform does: the machine
// list says that the node leaves.
func (n *Node) Drain() {
	n.mesh.Machines.Set(machineOf(n.PlannedNode, machines.StateLeaving))
	n.signal(syscall.SIGTERM)
}

// WaitExit waits for the process's end and returns its exit code, and false
// when it still runs after the bound.
func (n *Node) WaitExit(bound time.Duration) (int, bool) {
	return n.process().WaitFor(bound)
}

// Running reports whether the process has not ended.
func (n *Node) Running() bool {
	running := n.process()
	if running == nil {
		return false
	}
	select {
	case <-running.Ended():
		return false
	default:
		return true
	}
}

// adminClient asks nodes and workers; no answer may take long.
var adminClient = &http.Client{Timeout: 2 * time.Second}

// pollInterval is the time between two questions while waiting.
const pollInterval = 50 * time.Millisecond

// WaitReady waits until the node says that it is ready.
func (n *Node) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if n.Ready(ctx) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-n.process().Ended():
			return fault.New(fault.Unready, "read its log in the lab's directory", "node %s ended before it was ready", n.Name)
		case <-ctx.Done():
			return fault.New(fault.Unready, "read its log in the lab's directory", "node %s did not become ready in time", n.Name)
		}
	}
}

// Ready asks the node whether it is ready.
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

// Status asks the node for its status.
func (n *Node) Status() (Status, error) {
	var status Status
	err := getJSON("http://"+n.Admin+"/status", &status)
	return status, err
}

func getJSON(url string, target any) error {
	const remedy = "read the log of the process in the lab's directory"
	response, err := adminClient.Get(url)
	if err != nil {
		return fault.Wrap(err, fault.Unready, remedy, "ask %s", url)
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(target)
	return fault.Wrap(err, fault.Unready, remedy, "read the answer of %s", url)
}
