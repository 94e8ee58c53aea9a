package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// ErrStillRuns tells that a process did not stop in time.
var ErrStillRuns = errors.New("process still runs")

// Process is one program of a fleet.
type Process struct {
	name     string
	program  string
	settings string
	output   string
	folder   string
	centre   string
	url      string
	link     string

	mutex  sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// URL returns the HTTP address: of an instance, or the control address of a
// stand-in.
func (p *Process) URL() string { return p.url }

// Link returns the UDP address of the link.
func (p *Process) Link() string { return p.link }

// Centre returns the data centre.
func (p *Process) Centre() string { return p.centre }

// Folder returns the data folder.
func (p *Process) Folder() string { return p.folder }

// Output returns the path of the log.
func (p *Process) Output() string { return p.output }

// Start starts the process, or starts it again after it ended.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.program, "-settings", p.settings) //nolint:noctx // it outlives the call
	cmd.Stdout, cmd.Stderr = out, out
	// A process never outlives the program that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mutex.Lock()
		if p.cmd == cmd {
			p.err = err
		}
		p.mutex.Unlock()
		close(exited)
	}()
	return nil
}

// Running tells whether the process runs.
func (p *Process) Running() bool {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// PID returns the process number, 0 before the first start.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Minute)
}

// Pause stops the process without its knowledge.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop asks the process to stop gracefully and waits for it. The error tells
// that it did not, or that its exit code was not 0.
func (p *Process) Stop(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	if !p.wait(limit) {
		return fmt.Errorf("stop %s within %s: %w", p.name, limit, ErrStillRuns)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.err != nil {
		return fmt.Errorf("stop %s: %w", p.name, p.err)
	}
	return nil
}

// Wait waits for the end of the process and returns its exit code, -1 if it
// still runs after limit.
func (p *Process) Wait(limit time.Duration) int {
	if !p.wait(limit) {
		return -1
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

func (p *Process) signal(s syscall.Signal) {
	if !p.Running() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *Process) wait(limit time.Duration) bool {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (f *Fleet) killAll() {
	for _, p := range f.processes {
		p.Kill()
	}
}

// Stop stops all processes gracefully: entry instances first, then those that
// keep the state, then the stand-ins.
func (f *Fleet) Stop(limit time.Duration) error {
	var errs []error
	for _, group := range [][]*Process{f.entries, f.keepers, {f.backends}} {
		results := make(chan error, len(group))
		for _, p := range group {
			go func() { results <- p.Stop(limit) }()
		}
		for range group {
			errs = append(errs, <-results)
		}
	}
	if f.proxies != nil {
		errs = append(errs, f.proxies.Stop(limit))
	}
	return errors.Join(errs...)
}
