package fleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is one child process. Its output goes to a file.
type process struct {
	path string
	args []string
	out  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	done    chan struct{}
	err     error
}

func newProcess(out, path string, args ...string) *process {
	return &process{path: path, args: args, out: out}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "opening process log")
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The child ends with its parent, so that an interrupted run leaves no processes behind.
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

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// wait waits until the process has ended. It returns an error if it did not end in time or exited with a failure.
func (p *process) wait(limit time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return p.err
	case <-time.After(limit):
		return eris.Errorf("%s is still running after %s", p.path, limit)
	}
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	_ = p.signal(syscall.SIGCONT) // a stopped process would keep its state until resumed
	_ = p.signal(syscall.SIGKILL)
	_ = p.wait(5 * time.Second)
}
