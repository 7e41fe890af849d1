package mesh

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/fault"
	"sliphead/lab/process"
	"sliphead/lab/worker"
)

// Worker is a stand-in worker's process.
type Worker struct {
	PlannedWorker
	mesh     *Mesh
	outbound string
	running  *process.Process
}

// start starts the process and waits until it listens.
func (w *Worker) start() error {
	log, err := w.mesh.logFile("worker-" + w.Name)
	if err != nil {
		return err
	}
	running, err := w.mesh.launcher.Start(w.Name, log, func(string) {}, nil, w.mesh.options.LabBinary, w.arguments()...)
	if err != nil {
		return err
	}
	w.running = running
	return w.waitListening()
}

func (w *Worker) arguments() []string {
	service := w.PlannedWorker.Service
	arguments := []string{
		"worker",
		"--name", w.Name,
		"--service", service.Name,
		"--listen", w.Address,
		"--outbound", w.outbound,
		"--slots", strconv.Itoa(w.Slots),
		"--queue", strconv.Itoa(2 * w.Slots),
		"--connections", strconv.Itoa(w.Connections),
		"--connection-cost", milliseconds(service.ConnectionCostMS).String(),
		"--probe-cost", milliseconds(service.ProbeCostMS).String(),
		"--run-time", milliseconds(service.RunTimeMS).String(),
		"--health-lag", milliseconds(service.HealthLagMS).String(),
	}
	if credential := w.Credential(); credential != "" {
		arguments = append(arguments, "--credential", credential)
	}
	return arguments
}

// Credential returns what the worker asks callers to present, "" for nothing.
func (w *Worker) Credential() string {
	return w.mesh.Plan.Secrets[w.PlannedWorker.Service.Secret]
}

// listenBound is the longest that a worker may take to listen.
const listenBound = 10 * time.Second

func (w *Worker) waitListening() error {
	bound := time.After(listenBound)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		connection, err := net.Dial("tcp", w.Address)
		if err == nil {
			return connection.Close()
		}
		select {
		case <-ticker.C:
		case <-w.running.Ended():
			return fault.New(fault.Worker, "read its log in the lab's directory", "worker %s ended at its start", w.Name)
		case <-bound:
			return fault.New(fault.Worker, "read its log in the lab's directory", "worker %s does not listen", w.Name)
		}
	}
}

func (w *Worker) kill() {
	if w.running != nil {
		w.running.Kill()
	}
}

// Runs returns the worker's journal.
func (w *Worker) Runs() ([]worker.Run, error) {
	var runs []worker.Run
	err := getJSON("http://"+w.Address+worker.PathJournal, &runs)
	return runs, err
}

// SetFault makes the worker misbehave from now on.
func (w *Worker) SetFault(kind worker.Fault) error {
	return w.post(worker.PathFault + "?kind=" + string(kind))
}

// Drain makes the worker report that it drains and shed new requests.
func (w *Worker) Drain() error { return w.post(worker.PathDrain) }

func (w *Worker) post(path string) error {
	response, err := adminClient.Post("http://"+w.Address+path, "", nil)
	if err != nil {
		return fault.Wrap(err, fault.Worker, "read its log in the lab's directory", "ask worker %s", w.Name)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Settings, "name a known fault", "worker %s refused %s", w.Name, path)
	}
	return nil
}
