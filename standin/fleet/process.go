package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStillRunning reports a process that did not exit in time.
var ErrStillRunning = errors.New("process still running")

// Process is a started program. Its output is appended to the file Log.
type Process struct {
	Name string
	// Log is the path of the file with the output.
	Log  string
	cmd  *exec.Cmd
	done chan struct{}

	mu sync.Mutex
	// signalled reports that Terminate has sent its signal.
	signalled bool
	err       error
}

// start runs the program at path. Its output is appended to dir/name.log.
func start(dir, name, path string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(path, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, Log: logPath, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process, also a paused one, and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM for a graceful stop. It sends the signal only once, because a node exits
// immediately on a second one.
func (p *Process) Terminate() error {
	p.mu.Lock()
	signalled := p.signalled
	p.signalled = true
	p.mu.Unlock()
	if signalled {
		return nil
	}
	return p.cmd.Process.Signal(syscall.SIGTERM)
}

// Stop calls Terminate and waits for the exit of the process. Its errors are those of WaitExit.
func (p *Process) Stop(wait time.Duration) error {
	if p.Running() {
		if err := p.Terminate(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return errors.Wrapf(err, "stop %s", p.Name)
		}
	}
	return p.WaitExit(wait)
}

// WaitExit waits until the process has exited. It returns ErrStillRunning after the wait, or the error with
// which the process exited.
func (p *Process) WaitExit(wait time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(wait):
		return errors.Wrapf(ErrStillRunning, "%s after %v", p.Name, wait)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrapf(p.err, "process %s", p.Name)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
