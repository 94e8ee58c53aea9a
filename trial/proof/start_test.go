package proof_test

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/trial/fleet"
)

// TestStart runs the programs with faulty settings and checks the exit code and
// the error line that names the cause.
func TestStart(t *testing.T) {
	bin, err := fleet.BuildPrograms(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { busy.Close() }) // scripts run after this function
	busyUDP, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { busyUDP.Close() })
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		Deadline: time.Now().Add(time.Minute),
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Setenv("BUSY", busy.Addr().String())
			e.Setenv("TAKEN", busyUDP.LocalAddr().String())
			e.Setenv("DIGEST", strings.Repeat("0", 64))
			for _, name := range []string{"HTTP", "LINK", "HTTP2", "LINK2"} {
				e.Setenv(name, freeAddress())
			}
			from := time.Now().Add(-time.Hour)
			return errors.Join(
				keys.CreateAuthority(e.WorkDir, "start", from, 2*time.Hour),
				keys.IssueCertificate(e.WorkDir, "one", from, 2*time.Hour),
			)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": checkExit, "fill": fillSettings, "serving": waitListening},
	})
}

// freeAddress returns a TCP address that was free when it was checked.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// checkExit is the script command "exits CODE PROGRAM ARG...": it runs a program
// and checks its exit code.
func checkExit(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit code %s", err, args[0])
	}
}

// fillSettings is the script command "fill FROM TO [OLD NEW]...": it writes a
// settings file from a template, replacing first the given texts, then the
// script's variables.
func fillSettings(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	for i := 2; i+1 < len(args); i += 2 {
		if !strings.Contains(text, args[i]) {
			ts.Fatalf("%s has no %q", args[0], args[i])
		}
		text = strings.Replace(text, args[i], strings.ReplaceAll(args[i+1], `\n`, "\n"), 1)
	}
	text = os.Expand(text, ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// waitListening is the script command "serving ADDRESS": it waits until a TCP
// address accepts connections.
func waitListening(ts *testscript.TestScript, _ bool, args []string) {
	for range 500 {
		c, err := net.Dial("tcp", args[0])
		if err == nil {
			c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s accepts no connections", filepath.Base(args[0]))
}
