package lab

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// Process is a router or an agent that the lab started.
type Process struct {
	Name fleet.Name
	Role string
	IP   string

	argv []string
	env  []string
	log  string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// Start starts the process, again if it has ended; its log goes on.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Running tells whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// Wait waits for the end of the process and returns its exit code; it returns
// false if the time is over first.
func (p *Process) Wait(limit time.Duration) (int, bool) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return 0, true
	}
	select {
	case <-done:
	case <-time.After(limit):
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, true
}

// Log returns the file of the process's log.
func (p *Process) Log() string { return p.log }

// PID returns the number of the running process, 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
