package fleettest

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one process that the fleet started.
type Process struct {
	ID  string
	cmd *exec.Cmd
	// log is the file that the output goes to.
	log string

	done chan struct{}
	mu   sync.Mutex
	err  error
}

// start runs a program whose output goes to a log file.
func start(id, logFile, program string, args ...string) (*Process, error) {
	log, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	p := &Process{ID: id, log: logFile, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", id)
	}
	go func() {
		err := p.cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// HasOutput reports whether the process has written anything: before that it may not
// have run any code of its own, and a signal has its default effect.
func (p *Process) HasOutput() bool {
	info, err := os.Stat(p.log)
	return err == nil && info.Size() > 0
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end, for at most a time, and returns the error of the exit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return errors.Newf("%s still runs after %v", p.ID, limit)
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
