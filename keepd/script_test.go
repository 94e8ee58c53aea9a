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

const token = "secret"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"keepd": main})
}

// TestScripts runs keepd as a process. Each script finds keys and settings for
// a group of one, on free ports.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Setup: setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"run": run, "get": get, "exits": exits, "occupy": occupy, "append": appendFile, "terminate": terminate, "replace": replace,
		},
	})
}

func setUp(e *testscript.Env) error {
	from := time.Now().Add(-time.Hour)
	if err := keys.MakeFleet(e.WorkDir, "test", from, 2*time.Hour); err != nil {
		return err
	}
	if err := keys.MakeInstance(e.WorkDir, "keep1", from, 2*time.Hour); err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer udp.Close()
	sum := sha256.Sum256([]byte(token))
	e.Setenv("HTTP", tcp.Addr().String())
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

// run CODE TOKEN FILE posts a file until the answer has a status.
func run(ts *testscript.TestScript, _ bool, args []string) {
	call(ts, args[0], func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv("HTTP")+"/run", strings.NewReader(ts.ReadFile(args[2])))
		if err == nil {
			r.Header.Set("Authorization", "Bearer "+args[1])
		}
		return r, err
	})
}

// get CODE PATH reads a path until the answer has a status.
func get(ts *testscript.TestScript, _ bool, args []string) {
	call(ts, args[0], func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+ts.Getenv("HTTP")+args[1], nil)
	})
}

func call(ts *testscript.TestScript, code string, make func() (*http.Request, error)) {
	last := ""
	for range 500 {
		r, err := make()
		ts.Check(err)
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			last = err.Error()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		b, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		ts.Check(err)
		if fmt.Sprint(answer.StatusCode) == code {
			_, _ = ts.Stdout().Write(b)
			return
		}
		last = fmt.Sprintf("status %d: %s", answer.StatusCode, b)
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("no answer with status %s; last %s", code, last)
}

// exits CODE COMMAND... runs a command that must end with an exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || fmt.Sprint(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit status %s", err, args[0])
	}
}

// occupy listens on the HTTP address until the script ends.
func occupy(ts *testscript.TestScript, _ bool, _ []string) {
	l, err := net.Listen("tcp", ts.Getenv("HTTP"))
	ts.Check(err)
	ts.Defer(func() { _ = l.Close() })
}

// terminate sends SIGTERM to what runs in the background.
func terminate(ts *testscript.TestScript, _ bool, _ []string) {
	for _, c := range ts.BackgroundCmds() {
		ts.Check(c.Process.Signal(syscall.SIGTERM))
	}
}

// append FILE OTHER adds the content of another file.
func appendFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(ts.ReadFile(args[0])+ts.ReadFile(args[1])), 0o600))
}

// replace FILE OLD NEW replaces text in a file.
func replace(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(ts.ReadFile(args[0]), args[1], args[2])), 0o600))
}
