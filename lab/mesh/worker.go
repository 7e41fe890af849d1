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

// Worker is a stand-in worker with its process.
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

// Credential returns the credential that the worker requires of callers, "" for none.
func (w *Worker) Credential() string {
	return w.mesh.Plan.Secrets[w.PlannedWorker.Service.Secret]
}

// listenTimeout bounds the time until a started worker listens.
const listenTimeout = 10 * time.Second

func (w *Worker) waitListening() error {
	timeout := time.After(listenTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		connection, err := net.Dial("tcp", w.Address)
		if err == nil {
			return connection.Close()
		}
		select {
		case <-ticker.C:
		case <-w.running.Exited():
			return fault.New(fault.Worker, "read its log in the lab's directory", "worker %s exited before it listened", w.Name)
		case <-timeout:
			return fault.New(fault.Worker, "read its log in the lab's directory", "worker %s did not listen in time", w.Name)
		}
	}
}

func (w *Worker) kill() {
	if w.running != nil {
		w.running.Kill()
	}
}

// Runs requests the worker's journal of runs.
func (w *Worker) Runs() ([]worker.Run, error) {
	var runs []worker.Run
	err := getJSON("http://"+w.Address+worker.PathJournal, &runs)
	return runs, err
}

// SetFault injects a fault into the worker until the next call; FaultNone removes it.
func (w *Worker) SetFault(kind worker.Fault) error {
	return w.post(worker.PathFault + "?kind=" + string(kind))
}

// Drain makes the worker report that it is draining, and shed new requests.
func (w *Worker) Drain() error { return w.post(worker.PathDrain) }

func (w *Worker) post(path string) error {
	response, err := adminClient.Post("http://"+w.Address+path, "", nil)
	if err != nil {
		return fault.Wrap(err, fault.Worker, "read its log in the lab's directory", "send a request to worker %s", w.Name)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Settings, "give a valid fault", "worker %s rejected %s", w.Name, path)
	}
	return nil
}
