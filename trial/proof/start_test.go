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

// TestStart runs the programs with settings that are wrong in some way and
// checks the exit code and the one line that tells why.
func TestStart(t *testing.T) {
	bin, err := fleet.Programs(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { busy.Close() }) // scripts run after this function
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { taken.Close() })
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		Deadline: time.Now().Add(time.Minute),
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Setenv("BUSY", busy.Addr().String())
			e.Setenv("TAKEN", taken.LocalAddr().String())
			e.Setenv("DIGEST", strings.Repeat("0", 64))
			for _, name := range []string{"HTTP", "LINK", "HTTP2", "LINK2"} {
				e.Setenv(name, free())
			}
			from := time.Now().Add(-time.Hour)
			return errors.Join(
				keys.MakeFleet(e.WorkDir, "start", from, 2*time.Hour),
				keys.MakeInstance(e.WorkDir, "one", from, 2*time.Hour),
			)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits, "fill": fill, "serving": serving},
	})
}

// free is an address that was free a moment ago.
func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// exits runs a program and checks its exit code: exits CODE PROGRAM ARG...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit code %s", err, args[0])
	}
}

// fill makes settings: fill FROM TO [OLD NEW]... replaces texts, then the
// script's variables.
func fill(ts *testscript.TestScript, _ bool, args []string) {
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

// serving waits until a TCP address accepts connections.
func serving(ts *testscript.TestScript, _ bool, args []string) {
	for range 500 {
		c, err := net.Dial("tcp", args[0])
		if err == nil {
			c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s doesn't serve", filepath.Base(args[0]))
}
