package stage

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const killTimeout = 5 * time.Second

// Process is one process of a Harness. Its output goes to a log file.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}

	mu   sync.Mutex
	code int
}

// startProcess starts a program and records its exit code when it exits.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	log := filepath.Join(dir, name+".log")
	f, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("startProcess: %w", err)
	}
	defer func() { _ = f.Close() }()
	p := &Process{name: name, log: log, done: make(chan struct{}), code: -1}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout = f
	p.cmd.Stderr = f
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("startProcess: %s: %w", name, err)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	_ = p.cmd.Wait()
	p.mu.Lock()
	p.code = p.cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(p.done)
}

// Signal sends a signal to the process, by its id.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code, or -1 if the process is running or was killed
// by a signal.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// Log returns the output of the process so far.
func (p *Process) Log() string {
	raw, _ := os.ReadFile(p.log)
	return string(raw)
}

// kill sends SIGKILL, which also ends a process stopped by SIGSTOP, and waits for
// its exit.
func (p *Process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.Signal(syscall.SIGKILL)
	select {
	case <-p.done:
	case <-time.After(killTimeout):
	}
}
