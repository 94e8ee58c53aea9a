package main

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenahaven.example/core/process/keys"
)

const operatorToken = "secret"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"keepd": main})
}

// TestScripts runs keepd as a process. Each script has keys and settings for a
// group with one member, on free ports.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Setup: setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"run": postRun, "get": getPath, "exits": expectExit, "occupy": occupyHTTPPort, "append": appendFile, "terminate": terminate, "replace": replace,
			"hold": holdFIFO, "stall": stallCall, "platform": writePlatformSettings,
		},
	})
}

func setUp(e *testscript.Env) error {
	from := time.Now().Add(-time.Hour)
	if err := keys.CreateAuthority(e.WorkDir, "test", from, 2*time.Hour); err != nil {
		return err
	}
	if err := keys.IssueCertificate(e.WorkDir, "keep1", from, 2*time.Hour); err != nil {
		return err
	}
	// Of its own, so that no connection or listener of others has a port before keepd starts.
	pid := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255)
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	defer udp.Close()
	sum := sha256.Sum256([]byte(operatorToken))
	e.Setenv("HTTP", tcp.Addr().String())
	e.Setenv("LINK", udp.LocalAddr().String())
	text := fmt.Sprintf(`name = "keep1"
centre = "north"
folder = "data"
digest = "%s"
[listen]
http = "%s"
link = "%s"
[keys]
authority = "fleet.crt"
cert = "keep1.crt"
key = "keep1.key"
[peers]
keep1 = "%[3]s"
[group]
voters = ["keep1"]
`, hex.EncodeToString(sum[:]), tcp.Addr(), udp.LocalAddr())
	return os.WriteFile(filepath.Join(e.WorkDir, "keepd.toml"), []byte(text), 0o600)
}

// postRun implements run CODE TOKEN FILE: it posts FILE to /run until the
// response has the status CODE.
func postRun(ts *testscript.TestScript, _ bool, args []string) {
	retryUntilStatus(ts, args[0], func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv("HTTP")+"/run", strings.NewReader(ts.ReadFile(args[2])))
		if err == nil {
			r.Header.Set("Authorization", "Bearer "+args[1])
		}
		return r, err
	})
}

// getPath implements get CODE PATH: it reads PATH until the response has the
// status CODE.
func getPath(ts *testscript.TestScript, _ bool, args []string) {
	retryUntilStatus(ts, args[0], func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+ts.Getenv("HTTP")+args[1], nil)
	})
}

func retryUntilStatus(ts *testscript.TestScript, code string, newRequest func() (*http.Request, error)) {
	last := ""
	for range 500 {
		r, err := newRequest()
		ts.Check(err)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			last = err.Error()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		b, err := io.ReadAll(response.Body)
		response.Body.Close()
		ts.Check(err)
		if fmt.Sprint(response.StatusCode) == code {
			_, _ = ts.Stdout().Write(b)
			return
		}
		last = fmt.Sprintf("status %d: %s", response.StatusCode, b)
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("no response with status %s; last: %s", code, last)
}

// expectExit implements exits CODE COMMAND...: the command must end with the
// exit status CODE.
func expectExit(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || fmt.Sprint(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit status %s", err, args[0])
	}
}

// occupyHTTPPort implements occupy: it listens on the HTTP address until the
// script ends.
func occupyHTTPPort(ts *testscript.TestScript, _ bool, _ []string) {
	l, err := net.Listen("tcp", ts.Getenv("HTTP"))
	ts.Check(err)
	ts.Defer(func() { _ = l.Close() })
}

// killAfter is how long after SIGTERM a command that still runs is killed: more than any
// grace of the scripts.
const killAfter = 4 * time.Second

// terminate sends SIGTERM to the background command that was started last.
func terminate(ts *testscript.TestScript, _ bool, _ []string) {
	commands := ts.BackgroundCmds()
	process := commands[len(commands)-1].Process
	ts.Check(process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(killAfter, func() { _ = process.Kill() })
	ts.Defer(func() { kill.Stop() })
}

// holdFIFO implements hold FIFO: it waits until a process reads the FIFO, and lets it wait
// for data until the script ends.
func holdFIFO(ts *testscript.TestScript, _ bool, args []string) {
	for range 2000 {
		fd, err := syscall.Open(ts.MkAbs(args[0]), syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
		if err == nil {
			ts.Defer(func() { _ = syscall.Close(fd) })
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("nothing reads %s", args[0])
}

// stallCall implements stall: it sends a part of a call, and no more until the script ends.
func stallCall(ts *testscript.TestScript, _ bool, _ []string) {
	c, err := net.Dial("tcp", ts.Getenv("HTTP"))
	ts.Check(err)
	ts.Defer(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST /run HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+operatorToken+"\r\nContent-Length: 9\r\n\r\n{")
	ts.Check(err)
}

// writePlatformSettings implements platform FILE: it writes the settings of a platform for
// a keeper without a disk and a grace of 2 s.
func writePlatformSettings(ts *testscript.TestScript, _ bool, args []string) {
	link, err := net.ResolveUDPAddr("udp", ts.Getenv("LINK"))
	ts.Check(err)
	text := fmt.Sprintf(`node_name = "m"
ip = %q
zone = "z"
internal_ports = [%d,%d]
seeds = [%[4]q]
[listen]
control = %[4]q
[bounds]
grace_s = 2
`, link.IP, link.Port, link.Port+1, ts.Getenv("HTTP"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// appendFile implements append FILE OTHER: it appends the content of OTHER.
func appendFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(ts.ReadFile(args[0])+ts.ReadFile(args[1])), 0o600))
}

// replace implements replace FILE OLD NEW: it replaces text in a file.
func replace(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(ts.ReadFile(args[0]), args[1], args[2])), 0o600))
}
