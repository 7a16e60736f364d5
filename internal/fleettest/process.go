package fleettest

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a process that the fleet started.
type Process struct {
	ID  string
	cmd *exec.Cmd
	// logFile receives stdout and stderr.
	logFile string

	done chan struct{}
	mu   sync.Mutex
	err  error
}

// start starts a program with its output in a log file.
func start(id, logFile, program string, args ...string) (*Process, error) {
	output, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	p := &Process{ID: id, logFile: logFile, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", id)
	}
	go func() {
		err := p.cmd.Wait()
		output.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// HasLogged reports whether a daemon has written a line of its log, which is JSON. Before the
// first one it might not have installed its signal handlers, so that a signal has its default
// effect. Other output may come earlier: a library warns when it does not know the Go version.
func (p *Process) HasLogged() bool {
	output, err := os.ReadFile(p.logFile)
	return err == nil && (bytes.HasPrefix(output, []byte("{")) || bytes.Contains(output, []byte("\n{")))
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the process to exit and returns its exit error, or an error if it is
// still running after the limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return errors.Newf("%s is still running after %v", p.ID, limit)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
