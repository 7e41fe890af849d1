// Package process starts processes for the lab, sends them signals to inject
// faults, and makes sure that they do not outlive the lab.
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

// Launcher starts all processes from one operating system thread, so that the
// kernel kills them if the lab dies: PR_SET_PDEATHSIG applies to the thread that
// started a process, and that thread lives until Close.
type Launcher struct {
	starts chan func()
	done   chan struct{}
}

// NewLauncher returns a launcher, whose Close method must be called at the end.
func NewLauncher() *Launcher {
	l := &Launcher{starts: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case start := <-l.starts:
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
	l.starts <- func() { result <- command.Start() }
	return <-result
}

// Close ends the launcher. Processes that still run are killed by the kernel when
// the launcher's thread ends. Start must not be called afterwards.
func (l *Launcher) Close() { close(l.done) }

// Process is a started process. Its methods may be called concurrently.
type Process struct {
	name      string
	command   *exec.Cmd
	mutex     sync.Mutex
	exited    chan struct{}
	code      int
	hasExited bool
}

// Start starts a program with additional environment variables, each name=value. It
// writes each line of the process's standard output and error to log and calls
// onLine with it. Lines are limited to 1 MiB; after a longer one, output is
// discarded.
func (l *Launcher) Start(name string, log io.Writer, onLine func(string), environment []string, program string, args ...string) (*Process, error) {
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "stop other programs that hold many open files", "open a pipe for %s", name)
	}
	command.Stdout = writer
	command.Stderr = writer
	err = l.start(command)
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return nil, fault.Wrap(err, fault.Settings, "build the program first (make build) and name its path", "start %s for %s", program, name)
	}
	started := &Process{name: name, command: command, exited: make(chan struct{})}
	go started.collect(reader, log, onLine)
	return started, nil
}

// collect reads the output of the process until it ends, and then records the exit code.
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
	p.hasExited = true
	p.code = p.command.ProcessState.ExitCode()
	p.mutex.Unlock()
	close(p.exited)
}

// Signal sends a signal, unless the process has exited.
func (p *Process) Signal(kind syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.hasExited {
		_ = p.command.Process.Signal(kind)
	}
}

// Kill kills the process (SIGKILL) and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// WaitFor waits until the process has exited and returns its exit code, or false if
// it still runs when the timeout has passed.
func (p *Process) WaitFor(timeout time.Duration) (int, bool) {
	select {
	case <-p.exited:
		return p.code, true
	case <-time.After(timeout):
		return 0, false
	}
}

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }
