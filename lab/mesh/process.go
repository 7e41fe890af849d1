package mesh

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

// launcher starts processes from one operating system thread, so that the
// kernel ends them if the lab dies (PR_SET_PDEATHSIG follows the thread).
type launcher struct {
	work chan func()
	done chan struct{}
}

func newLauncher() *launcher {
	l := &launcher{work: make(chan func()), done: make(chan struct{})}
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

func (l *launcher) start(command *exec.Cmd) error {
	result := make(chan error, 1)
	l.work <- func() { result <- command.Start() }
	return <-result
}

func (l *launcher) close() { close(l.done) }

// process is one started process.
type process struct {
	name    string
	command *exec.Cmd
	mutex   sync.Mutex
	ended   chan struct{}
	code    int
	isDone  bool
}

// startProcess runs a program. Each line that it writes goes to onLine
// and to the log.
func (l *launcher) startProcess(name string, log io.Writer, onLine func(string), program string, args ...string) (*process, error) {
	command := exec.Command(program, args...)
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
	started := &process{name: name, command: command, ended: make(chan struct{})}
	go started.collect(reader, log, onLine)
	return started, nil
}

// collect reads the process's lines until it ends.
func (p *process) collect(reader *os.File, log io.Writer, onLine func(string)) {
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

// signal sends a signal, unless the process has ended.
func (p *process) signal(kind syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isDone {
		_ = p.command.Process.Signal(kind)
	}
}

// kill ends the process at once and waits until it has gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitFor waits for the process's end and returns its exit code, and false
// when it still runs after the bound.
func (p *process) waitFor(bound time.Duration) (int, bool) {
	select {
	case <-p.ended:
		return p.code, true
	case <-time.After(bound):
		return 0, false
	}
}
