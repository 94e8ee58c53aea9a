package proof_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/trial/fleet"
)

// diskGroup is a deployment whose data folders are under test.
type diskGroup struct {
	*group
	models  []string // declared, with a known outcome
	version uint64
}

func startDisks(t *testing.T, spares int) *diskGroup {
	t.Helper()
	keep := quickKeep()
	keep["group"] = map[string]any{"replace": "1s", "snapshot": 100}
	g := &diskGroup{group: startGroup(t, fleet.Options{Spares: spares, Keep: keep})}
	g.leader()
	return g
}

// declare makes n changes at the leader, whoever that is. Each has its own
// number, so that asking again after a lost answer is the same change.
func (g *diskGroup) declare(n int, not ...*fleet.Process) {
	g.t.Helper()
	for range n {
		name := fmt.Sprintf("m%d", len(g.models))
		g.models = append(g.models, name)
		g.number++
		r := proto.RunRequest{Operator: "operator", Number: g.number, Text: "declare model " + name + " revision 1"}
		g.wait("change "+name, func() error {
			reply, err := g.RunAt(g.t.Context(), g.leader(not...), r)
			if err == nil && reply.Version < g.version {
				g.t.Fatalf("version went back from %d to %d", g.version, reply.Version)
			}
			g.version = max(g.version, reply.Version)
			return err
		})
	}
}

// intact checks that all declared models are there, read at the leader.
func (g *diskGroup) intact() {
	g.t.Helper()
	reply := g.runAt(g.leader(), "ask models show name")
	if reply.Version < g.version {
		g.t.Errorf("version %d after %d", reply.Version, g.version)
	}
	for _, name := range g.models {
		if !slices.ContainsFunc(reply.Tables[0].Rows, func(row []string) bool { return row[0] == name }) {
			g.t.Errorf("model %s is lost", name)
		}
	}
}

func (g *diskGroup) follower() *fleet.Process {
	leader := g.leader()
	for _, p := range g.Keepers() {
		if p != leader && p.Running() {
			return p
		}
	}
	g.t.Fatal("no follower")
	return nil
}

// voters waits until the leader names just these voters.
func (g *diskGroup) voters(names ...string) {
	g.t.Helper()
	slices.Sort(names)
	g.wait("voters "+strings.Join(names, ", "), func() error {
		s, err := g.status(g.leader())
		slices.Sort(s.Voters)
		if err == nil && !slices.Equal(s.Voters, names) {
			err = fmt.Errorf("voters are %v", s.Voters)
		}
		return err
	})
}

// votes waits until a member counts itself among the voters: its instance may
// be listed before, by the name of the folder that it lost.
func (g *diskGroup) votes(p *fleet.Process) {
	g.t.Helper()
	g.wait(p.Name()+" to vote", func() error {
		s, err := g.status(p)
		if err == nil && s.Role != "follower" && s.Role != "leader" {
			err = fmt.Errorf("it is a %s", s.Role)
		}
		return err
	})
}

// caughtUp waits until a member has applied all changes.
func (g *diskGroup) caughtUp(p *fleet.Process) {
	g.t.Helper()
	g.wait(p.Name()+" to catch up", func() error {
		s, err := g.status(p)
		if err == nil && s.Version < g.version {
			err = fmt.Errorf("at %d of %d", s.Version, g.version)
		}
		return err
	})
}

func (g *diskGroup) start(p *fleet.Process) {
	g.t.Helper()
	if err := p.Start(); err != nil {
		g.t.Fatal(err)
	}
}

// counter reads a metric of a process.
func (g *diskGroup) counter(p *fleet.Process, name string) int {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, p.URL()+"/metrics", nil)
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		g.t.Fatal(err)
	}
	defer reply.Body.Close()
	b, _ := io.ReadAll(reply.Body)
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == name {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

func newestLog(p *fleet.Process) (string, error) {
	names, err := filepath.Glob(filepath.Join(p.Folder(), "log-*"))
	if err != nil || len(names) == 0 {
		return "", errors.Join(err, errors.New("no log"))
	}
	slices.Sort(names)
	return names[len(names)-1], nil
}

// damage flips a byte in the middle of the newest log segment.
func damage(p *fleet.Process) error {
	name, err := newestLog(p)
	if err != nil {
		return err
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	b[len(b)/2] ^= 1
	return os.WriteFile(name, b, 0o600)
}
