package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/keys"
)

const runMainVariable = "ENTRYD_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// process is an entryd of its own.
type process struct {
	*exec.Cmd
	output string // path of what it writes
	exited chan struct{}
}

func (p *process) wrote(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(p.output)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func startProcess(t *testing.T, configure func(*exec.Cmd), args ...string) *process {
	t.Helper()
	output, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	p := &process{Cmd: exec.CommandContext(t.Context(), os.Args[0], args...), output: output.Name(), exited: make(chan struct{})}
	p.Env = append(os.Environ(), runMainVariable+"=1")
	p.Stdout, p.Stderr = output, output
	configure(p.Cmd)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		_ = p.Wait()
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("output:\n%s", p.wrote(t))
		}
	})
	return p
}

func (p *process) terminate(t *testing.T) {
	t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// freePorts returns the first of a number of consecutive ports of 127.0.0.1 that were free
// for both TCP and UDP.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range 100 {
		first, free := 20000+rand.IntN(10000), true
		for port := first; free && port < first+n; port++ {
			address := "127.0.0.1:" + strconv.Itoa(port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			p, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				break
			}
			_ = p.Close()
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

// awaitAnswer waits until the process answers calls, and reports whether it does.
func (p *process) awaitAnswer(t *testing.T, address string) bool {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.exited:
			return false
		default:
		}
		if answers(t, address) {
			return true
		}
	}
	return false
}

func answers(t *testing.T, address string) bool {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return true
}

// startOnPlatform starts an entry instance with a line of bounds. It returns its address for
// callers, and the path of its settings, which end with that line.
func startOnPlatform(t *testing.T, bound string) (p *process, address, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "boot.toml")
	for range 5 { // another program may take a port first
		first := freePorts(t, 6)
		if err := os.WriteFile(path, platformSettings(first, bound), 0o600); err != nil {
			t.Fatal(err)
		}
		p = startProcess(t, func(c *exec.Cmd) { c.Env = append(c.Env, "VERBENAHAVEN_BOOT="+path) }, "-platform")
		address = "127.0.0.1:" + strconv.Itoa(first+4)
		if p.awaitAnswer(t, address) {
			return p, address, path
		}
	}
	t.Fatal("not answering")
	return nil, "", ""
}

// platformSettings returns settings with six ports and a line of bounds.
func platformSettings(first int, bound string) []byte {
	return fmt.Appendf(nil, `node_name = "m"
ip = "127.0.0.1"
zone = "z"
internal_ports = [%d,%d]
seeds = ["127.0.0.1:%d"]
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[bounds]
%s
`, first, first+2, first+3, first+4, first+5, bound)
}

// A process without a grace ended with the signal, and running calls had no answer.
func TestInstanceWithoutGraceServesAfterSignal(t *testing.T) {
	for _, bound := range []string{"", "grace_s = 0", "grace_s = -1"} {
		t.Run(bound, func(t *testing.T) {
			p, address, _ := startOnPlatform(t, bound)
			p.terminate(t)
			time.Sleep(time.Second)
			if !answers(t, address) {
				t.Error("no answer 1 s after the signal")
			}
		})
	}
}

// A change of the grace didn't count until the next start.
func TestChangedGraceAppliesToNextSignal(t *testing.T) {
	p, address, path := startOnPlatform(t, "grace_s = 1")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(b), "grace_s = 1", "grace_s = 8", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 1000 { // a second of polling and a reserve
		if strings.Contains(p.wrote(t), "settings reloaded") {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.terminate(t)
	time.Sleep(1500 * time.Millisecond)
	if !answers(t, address) {
		t.Error("no answer 1.5 s after the signal")
	}
}

// The grace of an instance that got the signal during its start began anew with its shutdown.
func TestGraceBeginsWithSignalDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, func(c *exec.Cmd) {
		c.Env = append(c.Env, "VERBENAHAVEN_BOOT="+path, "GORACE=atexit_sleep_ms=0")
	}, "-platform")
	w, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the process reads
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	p.terminate(t)
	time.Sleep(2 * time.Second)
	settings, next := platformSettings(freePorts(t, 6), "grace_s = 5"), path+".next"
	if err := os.WriteFile(next, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
	_, err = w.Write(settings)
	if err := errors.Join(err, w.Close()); err != nil {
		t.Fatal(err)
	}
	<-p.exited
	if took := time.Since(began); took > 5*time.Second || !strings.Contains(p.wrote(t), "stopped") {
		t.Errorf("ended %v after the signal, with a grace of 5 s", took)
	}
}

// fullPipe returns a pipe whose reader doesn't read and that takes no more.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fds[0]) })
	for {
		if _, err := syscall.Write(fds[1], make([]byte, 1)); err != nil {
			break
		}
	}
	if err := syscall.SetNonblock(fds[1], false); err != nil {
		t.Fatal(err)
	}
	w := os.NewFile(uintptr(fds[1]), "full")
	t.Cleanup(func() { _ = w.Close() })
	return w
}

// startOnOwnInterface starts an entry instance that reaches no keeper, with more lines of
// settings. It returns its address for callers.
func startOnOwnInterface(t *testing.T, grace, more string, configure func(*exec.Cmd)) (p *process, address string) {
	t.Helper()
	folder, from := t.TempDir(), time.Now().Add(-time.Hour)
	if err := keys.CreateAuthority(folder, "test", from, 2*time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := keys.IssueCertificate(folder, "e", from, 2*time.Hour); err != nil {
		t.Fatal(err)
	}
	first := freePorts(t, 3)
	path := filepath.Join(folder, "entryd.toml")
	text := fmt.Sprintf(`name = "e"
centre = "north"
[listen]
http = "127.0.0.1:%d"
link = "127.0.0.1:%d"
[keys]
authority = "fleet.crt"
cert = "e.crt"
key = "e.key"
[keepers]
k = "127.0.0.1:%d"
[stop]
grace = %q
%s`, first, first+1, first+2, grace, more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p = startProcess(t, func(c *exec.Cmd) {
		c.Dir = folder
		c.Env = append(c.Env, "GORACE=atexit_sleep_ms=0") // the race detector would wait for a second at the exit
		configure(c)
	}, "-settings", path)
	address = "127.0.0.1:" + strconv.Itoa(first)
	if !p.awaitAnswer(t, address) {
		t.Fatal("not answering")
	}
	return p, address
}

// A process on the own interface outlived its grace while something hung, here its log.
func TestInstanceThatHangsEndsWithinGrace(t *testing.T) {
	p, _ := startOnOwnInterface(t, "1s", "", func(c *exec.Cmd) { c.Stderr = fullPipe(t) })
	p.terminate(t)
	select {
	case <-p.exited:
		if code := p.ProcessState.ExitCode(); code != boot.ExitFailure {
			t.Errorf("exit code %d", code)
		}
	case <-time.After(4 * time.Second):
		t.Error("still running 4 s after the signal, with a grace of 1 s")
	}
}

// Address answers that live longer than the grace left no time to close connections: calls on
// them ended with the process.
func TestInstanceAnswersCallsUntilItsConnectionsClose(t *testing.T) {
	p, address := startOnOwnInterface(t, "2s", "", func(*exec.Cmd) {})
	p.terminate(t)
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for {
				c, err := net.Dial("tcp4", address)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				if b, err := io.ReadAll(c); err != nil || len(b) == 0 {
					t.Errorf("no answer on a connection that was accepted: %q, %v", b, err)
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
