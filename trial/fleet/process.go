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

// ErrStillRunning is returned if a process did not stop in time.
var ErrStillRunning = errors.New("process still runs")

// Process is one process of a fleet, which may be stopped and started again.
type Process struct {
	name         string
	programPath  string
	settingsPath string
	logPath      string
	dataFolder   string
	centre       string
	url          string
	linkAddress  string

	mutex   sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// URL returns the HTTP URL of an instance, or the control URL of a stand
// process, which runs simulated servers or proxies.
func (p *Process) URL() string { return p.url }

// LinkAddress returns the UDP address for links between instances.
func (p *Process) LinkAddress() string { return p.linkAddress }

// Centre returns the data centre.
func (p *Process) Centre() string { return p.centre }

// DataFolder returns the data folder.
func (p *Process) DataFolder() string { return p.dataFolder }

// LogPath returns the path of the log file.
func (p *Process) LogPath() string { return p.logPath }

// Start starts the process, or restarts it after it ended.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.programPath, "-settings", p.settingsPath) //nolint:noctx // it outlives the call
	cmd.Stdout, cmd.Stderr = out, out
	// Don't leave processes behind if the program that started them dies.
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
			p.exitErr = err
		}
		p.mutex.Unlock()
		close(exited)
	}()
	return nil
}

// Running reports whether the process runs.
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

// PID returns the process ID, 0 before the first start.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.waitExit(time.Minute)
}

// Pause suspends the process with SIGSTOP, which it can't handle.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop asks the process to stop gracefully and waits for it. It returns an error
// if the process still runs after limit or its exit code is not 0.
func (p *Process) Stop(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	if !p.waitExit(limit) {
		return fmt.Errorf("stop %s within %s: %w", p.name, limit, ErrStillRunning)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.exitErr != nil {
		return fmt.Errorf("stop %s: %w", p.name, p.exitErr)
	}
	return nil
}

// Wait waits for the end of the process and returns its exit code, -1 if it
// still runs after limit.
func (p *Process) Wait(limit time.Duration) int {
	if !p.waitExit(limit) {
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

func (p *Process) waitExit(limit time.Duration) bool {
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

// Stop stops all processes gracefully: entry instances first, then keepers, then
// the simulated servers and the proxies.
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
