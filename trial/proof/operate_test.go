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

// operator runs haven against a deployment.
type operator struct {
	g    *group
	bin  string
	home string
}

func newOperator(t *testing.T, g *group) *operator {
	t.Helper()
	bin, err := fleet.Programs(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return &operator{g: g, bin: bin, home: t.TempDir()}
}

// haven returns the exit code and output of one command.
func (o *operator) haven(keeper, command string, args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLong)
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

// TestEqualNumbers lets two operators' machines send commands under the same
// number at the same time, through different keepers.
func TestEqualNumbers(t *testing.T) {
	g := startGroup(t, fleet.Options{Entries: 1})
	g.leader()
	o := newOperator(t, g)
	for round := range 10 {
		number := fmt.Sprint(5000 + round)
		var codes [2]int
		var outs [2]string
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				text := fmt.Sprintf("declare model race%d revision %d", round, i)
				codes[i], outs[i] = o.haven(g.Keepers()[i].URL(), "run", "-number", number, text)
			})
		}
		both.Wait()
		if codes[0]+codes[1] != boot.ExitRefused || codes[0]*codes[1] != 0 {
			t.Fatalf("round %d: exit codes %v, want one 0 and one %d: %q", round, codes, boot.ExitRefused, outs)
		}
		lost := 0
		if codes[0] == 0 {
			lost = 1
		}
		if !strings.Contains(outs[lost], "conflict") {
			t.Errorf("round %d: the later one got %q", round, outs[lost])
		}
		_, now := o.haven(g.Keepers()[2].URL(), "ask", fmt.Sprintf("ask models where name = race%d show revision", round))
		if want := fmt.Sprint(1 - lost); !strings.HasPrefix(now, "revision\n"+want+"\n") {
			t.Errorf("round %d: the state has %q, want revision %s", round, now, want)
		}
	}
}

// TestLostAnswer pauses a keeper while it holds a command, so that its answer
// is lost, and sends the same command line again through another one.
func TestLostAnswer(t *testing.T) {
	g := startGroup(t, fleet.Options{Entries: 1})
	leader := g.leader()
	o := newOperator(t, g)
	leader.Pause()
	code, out := o.haven(leader.URL(), "run", "declare model lost revision 1")
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
	again, out := o.haven(other.URL(), "run", "declare model lost revision 1")
	if again != 0 || !strings.Contains(out, "command number "+number+" again") {
		t.Fatalf("exit code %d: %s", again, out)
	}
	_, first := o.haven(other.URL(), "run", "-number", number, "declare model lost revision 1")
	_, answer, _ := strings.Cut(out, "\n")
	if !strings.HasSuffix(first, answer) {
		t.Errorf("a third copy got %q, the second %q", first, answer)
	}
}

// TestKeyRotation replaces all keys of a running deployment and checks that
// new connections work at each step, without a restart of those that go on.
func TestKeyRotation(t *testing.T) {
	g := startGroup(t, fleet.Options{Entries: 2})
	g.leader()
	o := newOperator(t, g)
	folder := filepath.Join(filepath.Dir(g.Keepers()[0].Output()), "keys")
	instances := append(append([]*fleet.Process{}, g.Keepers()...), g.Entries()...)
	check := func(step string, i int) {
		t.Helper()
		// A restarted keeper has to be let in again by the others, and lets
		// them in: all its connections are new.
		p := g.Keepers()[i%len(g.Keepers())]
		if err := p.Stop(waitLong); err != nil {
			t.Fatalf("%s: stop %s: %v", step, p.Name(), err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		g.leader()
		var reply uint64
		g.wait(step, func() error {
			r, err := g.Run(t.Context(), fmt.Sprintf("declare model step%d revision 1", i))
			reply = r.Version
			return err
		})
		g.wait(step, func() error {
			s, err := g.status(p)
			if err == nil && s.Version < reply {
				err = fmt.Errorf("%s has version %d, want %d", p.Name(), s.Version, reply)
			}
			return err
		})
		for _, e := range g.Entries() {
			g.wait(step, func() error { return g.InForce(t.Context(), e, reply) })
		}
	}
	from, life := time.Now().Add(-time.Hour), 24*time.Hour
	if err := keys.Rotate(folder, from, life); err != nil {
		t.Fatal(err)
	}
	check("two authorities", 0)
	for i, p := range instances {
		if err := keys.MakeInstance(folder, p.Name(), from, life); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			check("the first instance has a new key", 1)
		}
	}
	check("all have new keys", 2)
	if err := keys.Retire(folder); err != nil {
		t.Fatal(err)
	}
	check("the old authority is retired", 3)
	if code, out := o.haven(g.Keepers()[1].URL(), "ask", "ask models where name ~ step count"); code != 0 || !strings.HasPrefix(out, "count\n4\n") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
