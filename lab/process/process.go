// Package process starts real processes for the lab, lets faults reach them by
// signals, and sees to it that none outlives the lab.
package process

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"sliphead/internal/fault"
)

// Launcher starts processes from one operating system thread, so that the
// kernel ends them if the lab dies (PR_SET_PDEATHSIG follows the thread).
type Launcher struct {
	work chan func()
	done chan struct{}
}

// NewLauncher returns a launcher. Close it when no more processes are started.
func NewLauncher() *Launcher {
	l := &Launcher{work: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case start := <-l.work:
				start()
			case <-l.done:
				runtime.UnlockOSThread()
				return
			}
		}
	}()
	return l
}

func (l *Launcher) start(command *exec.Cmd) error {
	result := make(chan error, 1)
	l.work <- func() { result <- command.Start() }
	return <-result
}

// Close ends the launcher. Processes that run are killed by the kernel.
func (l *Launcher) Close() { close(l.done) }

// Process is one started process.
type Process struct {
	name    string
	command *exec.Cmd
	mutex   sync.Mutex
	ended   chan struct{}
	code    int
	isDone  bool
}

// Start runs a program with variables added to the environment. Each line that
// it writes goes to onLine and to the log.
func (l *Launcher) Start(name string, log io.Writer, onLine func(string), environment []string, program string, args ...string) (*Process, error) {
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "end other programs that hold many files", "open a pipe for %s", name)
	}
	command.Stdout = writer
	command.Stderr = writer
	err = l.start(command)
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return nil, fault.Wrap(err, fault.Settings, "build the program first (make build) and name its path", "start %s for %s", program, name)
	}
	started := &Process{name: name, command: command, ended: make(chan struct{})}
	go started.collect(reader, log, onLine)
	return started, nil
}

// collect reads the process's lines until it ends.
func (p *Process) collect(reader *os.File, log io.Writer, onLine func(string)) {
	const longestLine = 1 << 20
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		_, _ = fmt.Fprintln(log, scanner.Text())
		onLine(scanner.Text())
	}
	_, _ = io.Copy(io.Discard, reader)
	_ = reader.Close()
	_ = p.command.Wait()
	p.mutex.Lock()
	p.isDone = true
	p.code = p.command.ProcessState.ExitCode()
	p.mutex.Unlock()
	close(p.ended)
}

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(kind syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isDone {
		_ = p.command.Process.Signal(kind)
	}
}

// Kill ends the process at once and waits until it has gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// WaitFor waits for the process's end and returns its exit code, and false
// when it still runs after the bound.
func (p *Process) WaitFor(bound time.Duration) (int, bool) {
	select {
	case <-p.ended:
		return p.code, true
	case <-time.After(bound):
		return 0, false
	}
}

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }
