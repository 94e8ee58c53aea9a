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

// diskGroup is a keeper group for tests of lost and damaged data folders.
type diskGroup struct {
	*keeperGroup
	models  []string // declared and acknowledged
	version uint64   // newest that a keeper answered with
}

func startDiskGroup(t *testing.T, spares int) *diskGroup {
	t.Helper()
	keep := fastKeeperSettings()
	keep["group"] = map[string]any{"replace": "1s", "snapshot": 100}
	g := &diskGroup{keeperGroup: startKeeperGroup(t, fleet.Options{Spares: spares, KeeperSettings: keep})}
	g.leader()
	return g
}

// declareModels makes n changes at the current leader, which is none of except.
// Each has its own command number, so that a retry after a lost answer is the
// same change.
func (g *diskGroup) declareModels(n int, except ...*fleet.Process) {
	g.t.Helper()
	for range n {
		name := fmt.Sprintf("m%d", len(g.models))
		g.models = append(g.models, name)
		g.number++
		r := proto.RunRequest{Operator: "operator", Number: g.number, Text: "declare model " + name + " revision 1"}
		g.waitFor("change "+name, func() error {
			reply, err := g.RunAt(g.t.Context(), g.leader(except...), r)
			if err == nil && reply.Version < g.version {
				g.t.Fatalf("version went back from %d to %d", g.version, reply.Version)
			}
			g.version = max(g.version, reply.Version)
			return err
		})
	}
}

// checkModels checks at the leader that no declared model is lost.
func (g *diskGroup) checkModels() {
	g.t.Helper()
	reply := g.runAt(g.leader(), "ask models show name")
	if reply.Version < g.version {
		g.t.Errorf("leader is at version %d, want at least %d", reply.Version, g.version)
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

// waitVoters waits until the leader lists exactly these voters.
func (g *diskGroup) waitVoters(names ...string) {
	g.t.Helper()
	slices.Sort(names)
	g.waitFor("voters "+strings.Join(names, ", "), func() error {
		s, err := g.status(g.leader())
		slices.Sort(s.Voters)
		if err == nil && !slices.Equal(s.Voters, names) {
			err = fmt.Errorf("voters are %v", s.Voters)
		}
		return err
	})
}

// waitVoting waits until a member reports a voter's role itself. The leader's
// list isn't enough: it may still hold the instance's identity from the folder
// that was lost.
func (g *diskGroup) waitVoting(p *fleet.Process) {
	g.t.Helper()
	g.waitFor(p.Name()+" to vote", func() error {
		s, err := g.status(p)
		if err == nil && s.Role != "follower" && s.Role != "leader" {
			err = fmt.Errorf("its role is %s, want follower or leader", s.Role)
		}
		return err
	})
}

// waitCaughtUp waits until a member has applied all acknowledged changes.
func (g *diskGroup) waitCaughtUp(p *fleet.Process) {
	g.t.Helper()
	g.waitFor(p.Name()+" to catch up", func() error {
		s, err := g.status(p)
		if err == nil && s.Version < g.version {
			err = fmt.Errorf("at version %d, want %d", s.Version, g.version)
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

// metric returns the value of a process's metric, 0 if it has none.
func (g *diskGroup) metric(p *fleet.Process, name string) int {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, p.URL()+"/metrics", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == name {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

func newestLogSegment(p *fleet.Process) (string, error) {
	names, err := filepath.Glob(filepath.Join(p.DataFolder(), "log-*"))
	if err != nil || len(names) == 0 {
		return "", errors.Join(err, errors.New("no log segment"))
	}
	slices.Sort(names)
	return names[len(names)-1], nil
}

// flipLogBit flips a bit in the middle of the newest log segment.
func flipLogBit(p *fleet.Process) error {
	name, err := newestLogSegment(p)
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
