// Package child runs and signals child processes and terminates them when their parent exits.
package child

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is a child process that can be restarted after it has exited. Its output goes to a file. It is safe for concurrent
// use.
type Process struct {
	path       string
	args       []string
	outputFile string
	env        []string // in addition to the environment of the parent

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	done    chan struct{}
	err     error
}

// New returns a process that is not started yet. Its output is appended to outputFile.
func New(outputFile, path string, args ...string) *Process {
	return &Process{path: path, args: args, outputFile: outputFile}
}

// SetEnv sets environment variables, each "name=value", that take effect at the next start.
func (p *Process) SetEnv(env ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.env = env
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.outputFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "opening process log")
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), p.env...)
	// The kernel kills the child when its parent exits, so that an interrupted run leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "starting %s; run make build", p.path)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.started = cmd, done, time.Now()
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process. It does nothing if the process was never started and returns an error if the process
// has exited.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits until the process has exited. It returns an error if the timeout expires or the process exits with a failure.
func (p *Process) Wait(timeout time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return p.err
	case <-time.After(timeout):
		return eris.Errorf("%s is still running after %s", p.path, timeout)
	}
}

// Kill kills the process and waits up to 5 s until it has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGCONT) // resumes a process that is suspended by SIGSTOP
	_ = p.Signal(syscall.SIGKILL)
	_ = p.Wait(5 * time.Second)
}

// Done returns a channel that is closed when the most recently started process has exited. It is nil before the first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// PID returns the id of the most recently started process. The process must have been started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Started returns the time of the most recent start.
func (p *Process) Started() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// Output returns the path of the output file.
func (p *Process) Output() string { return p.outputFile }
