package proof_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/trial/fleet"
)

// operator runs the haven command line tool against a deployment.
type operator struct {
	g    *keeperGroup
	bin  string
	home string
}

func newOperator(t *testing.T, g *keeperGroup) *operator {
	t.Helper()
	bin, err := fleet.BuildPrograms(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return &operator{g: g, bin: bin, home: t.TempDir()}
}

// runHaven runs one haven command and returns its exit code and output.
func (o *operator) runHaven(keeper, command string, args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	args = append([]string{command, "-keeper", keeper, "-timeout", "3s"}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(o.bin, "haven"), args...)
	cmd.Env = append(os.Environ(), "VERBENAHAVEN_TOKEN="+o.g.Token(), "HOME="+o.home, "XDG_STATE_HOME=")
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return -1, err.Error()
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// TestConcurrentCommandsWithEqualNumber sends two different commands under the
// same number at the same time, through different keepers. Exactly one takes
// effect; the other is refused as a conflict.
func TestConcurrentCommandsWithEqualNumber(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{Entries: 1})
	g.leader()
	o := newOperator(t, g)
	for round := range 10 {
		number := fmt.Sprint(5000 + round)
		var codes [2]int
		var outs [2]string
		var group sync.WaitGroup
		for i := range 2 {
			group.Go(func() {
				text := fmt.Sprintf("declare model race%d revision %d", round, i)
				codes[i], outs[i] = o.runHaven(g.Keepers()[i].URL(), "run", "-number", number, text)
			})
		}
		group.Wait()
		if codes[0]+codes[1] != boot.ExitRefused || codes[0]*codes[1] != 0 {
			t.Fatalf("round %d: exit codes %v, want one 0 and one %d: %q", round, codes, boot.ExitRefused, outs)
		}
		loser := 0
		if codes[0] == 0 {
			loser = 1
		}
		if !strings.Contains(outs[loser], "conflict") {
			t.Errorf("round %d: the refused command printed %q, want conflict in it", round, outs[loser])
		}
		_, table := o.runHaven(g.Keepers()[2].URL(), "ask", fmt.Sprintf("ask models where name = race%d show revision", round))
		if want := fmt.Sprint(1 - loser); !strings.HasPrefix(table, "revision\n"+want+"\n") {
			t.Errorf("round %d: the state shows %q, want revision %s", round, table, want)
		}
	}
}

// TestResendAfterLostAnswer sends a command to a paused leader, so that the
// answer is lost, and runs the same command line again through another keeper.
// It resends under the same number and gets the one answer of that command.
func TestResendAfterLostAnswer(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{Entries: 1})
	leader := g.leader()
	o := newOperator(t, g)
	leader.Pause()
	code, out := o.runHaven(leader.URL(), "run", "declare model lost revision 1")
	if code != boot.ExitUnknown {
		t.Fatalf("exit code %d, want %d: %s", code, boot.ExitUnknown, out)
	}
	number := strings.Fields(strings.Split(out, "command number ")[1])[0]
	leader.Resume()
	other := g.Keepers()[0]
	if other == leader {
		other = g.Keepers()[1]
	}
	g.leader()
	exitCode, out := o.runHaven(other.URL(), "run", "declare model lost revision 1")
	if exitCode != 0 || !strings.Contains(out, "command number "+number+" again") {
		t.Fatalf("exit code %d: %s", exitCode, out)
	}
	_, third := o.runHaven(other.URL(), "run", "-number", number, "declare model lost revision 1")
	_, answer, _ := strings.Cut(out, "\n")
	if !strings.HasSuffix(third, answer) {
		t.Errorf("third copy printed %q, want the answer of the second, %q", third, answer)
	}
}

// TestKeyRotation replaces all keys of a running deployment. At each step one
// keeper restarts and must get new connections to the others, which reload the
// keys without a restart.
func TestKeyRotation(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{Entries: 2})
	g.leader()
	o := newOperator(t, g)
	folder := filepath.Join(filepath.Dir(g.Keepers()[0].LogPath()), "keys")
	instances := append(append([]*fleet.Process{}, g.Keepers()...), g.Entries()...)
	check := func(step string, i int) {
		t.Helper()
		// All connections of a restarted keeper are new, so both sides verify
		// certificates again.
		p := g.Keepers()[i%len(g.Keepers())]
		if err := p.Stop(waitTimeout); err != nil {
			t.Fatalf("%s: stop %s: %v", step, p.Name(), err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		g.leader()
		var version uint64
		g.waitFor(step, func() error {
			r, err := g.Run(t.Context(), fmt.Sprintf("declare model step%d revision 1", i))
			version = r.Version
			return err
		})
		g.waitFor(step, func() error {
			s, err := g.status(p)
			if err == nil && s.Version < version {
				err = fmt.Errorf("%s has version %d, want %d", p.Name(), s.Version, version)
			}
			return err
		})
		for _, e := range g.Entries() {
			g.waitFor(step, func() error { return g.CheckVersion(t.Context(), e, version) })
		}
	}
	from, life := time.Now().Add(-time.Hour), 24*time.Hour
	if err := keys.StartRotation(folder, from, life); err != nil {
		t.Fatal(err)
	}
	check("two authorities", 0)
	for i, p := range instances {
		if err := keys.IssueCertificate(folder, p.Name(), from, life); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			check("the first instance has a new key", 1)
		}
	}
	check("all have new keys", 2)
	if err := keys.FinishRotation(folder); err != nil {
		t.Fatal(err)
	}
	check("the old authority is retired", 3)
	if code, out := o.runHaven(g.Keepers()[1].URL(), "ask", "ask models where name ~ step count"); code != 0 || !strings.HasPrefix(out, "count\n4\n") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
