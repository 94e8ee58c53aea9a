package proof_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

const (
	waitLong   = 15 * time.Second
	orderLease = 500 * time.Millisecond
	flight     = 200 * time.Millisecond
)

// group is a deployment whose keepers are under test.
type group struct {
	*fleet.Fleet
	t      *testing.T
	number uint64
}

// quickKeep are settings of keepers under which failures are noticed soon.
func quickKeep() map[string]any {
	return map[string]any{
		"order":  map[string]any{"lease": orderLease.String(), "margin": "50ms", "flight": flight.String(), "drain": "300ms"},
		"plan":   map[string]any{"policy": "fixed"},
		"ledger": map[string]any{"holder": "1500ms"},
		"member": map[string]any{"lease": "1500ms"},
	}
}

func startGroup(t *testing.T, o fleet.Options) *group {
	t.Helper()
	bin, err := fleet.Programs(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	o.Bin, o.Folder, o.Centres = bin, t.TempDir(), []string{"north", "middle", "south"}
	if o.Keepers == 0 {
		o.Keepers = 3
	}
	if o.Keep == nil {
		o.Keep = quickKeep()
	}
	f, cleanup, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range append(f.Keepers(), f.Entries()...) {
				b, _ := os.ReadFile(p.Output())
				t.Logf("--- %s\n%s", p.Name(), b)
			}
		}
		cleanup()
	})
	return &group{Fleet: f, t: t, number: 1000}
}

// quickEngine is an engine that changes its role soon.
func quickEngine(name string, fenced bool) fleet.Engine {
	return fleet.Engine{
		Name: name, Centre: "north", Model: "spec", Role: state.RoleMixed, Fenced: fenced,
		Extra: map[string]any{"change": "100ms", "load": "100ms"},
	}
}

type keepStatus struct {
	Role    string   `json:"role"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Version uint64   `json:"version"`
	Voters  []string `json:"voters"`
}

func (g *group) status(p *fleet.Process) (keepStatus, error) {
	var s keepStatus
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	err := g.Get(ctx, p.URL()+"/status", &s)
	return s, err
}

// leader waits for a leader that isn't among some.
func (g *group) leader(not ...*fleet.Process) *fleet.Process {
	g.t.Helper()
	var found *fleet.Process
	g.wait("a leader", func() error {
		for _, p := range g.Keepers() {
			if !p.Running() || contains(not, p) {
				continue
			}
			if s, err := g.status(p); err == nil && s.Role == "leader" {
				found = p
				return nil
			}
		}
		return errors.New("no leader")
	})
	return found
}

func contains(list []*fleet.Process, p *fleet.Process) bool {
	for _, o := range list {
		if o == p {
			return true
		}
	}
	return false
}

func (g *group) wait(what string, ready func() error) {
	g.t.Helper()
	if err := fleet.Wait(g.t.Context(), waitLong, ready); err != nil {
		g.t.Fatalf("wait for %s: %v", what, err)
	}
}

// runAt runs a text at one keeper until it takes it.
func (g *group) runAt(p *fleet.Process, format string, args ...any) proto.RunReply {
	g.t.Helper()
	g.number++
	r := proto.RunRequest{Operator: "operator", Number: g.number, Text: fmt.Sprintf(format, args...)}
	var reply proto.RunReply
	g.wait(r.Text, func() error {
		var err error
		reply, err = g.RunAt(g.t.Context(), p, r)
		return err
	})
	return reply
}

// idle waits until no order is open on an engine and it has a role.
func (g *group) idle(p *fleet.Process, engine string, role state.Role) {
	g.t.Helper()
	g.wait(fmt.Sprintf("%s to be %s", engine, role), func() error {
		r := g.runAt(p, "ask engines where name = %s show role, phase", engine)
		row := r.Tables[0].Rows[0]
		if row[0] != string(role) || row[1] != string(state.PhaseServing) {
			return fmt.Errorf("engine is %v", row)
		}
		return nil
	})
}

// noConflict checks the orders that an engine saw.
func (g *group) noConflict(engine string, least int) {
	g.t.Helper()
	var records []stand.Record
	if err := g.History(g.t.Context(), engine, &records); err != nil {
		g.t.Fatal(err)
	}
	changes, last := 0, uint64(0)
	for _, r := range records {
		if r.Conflict {
			g.t.Errorf("%s: order %d with fence %d conflicts (accepted %v, effect %s)", engine, r.Order.Number, r.Order.Fence, r.Accepted, r.Effect)
		}
		if r.Kind != stand.RecordOrder || r.Effect != "change" {
			continue
		}
		changes++
		if r.Order.Number < last {
			g.t.Errorf("%s: order %d takes effect after %d", engine, r.Order.Number, last)
		}
		last = r.Order.Number
	}
	if changes < least {
		g.t.Errorf("%s: %d orders took effect, want %d", engine, changes, least)
	}
}

func (g *group) fault(target string, kind stand.Kind) {
	g.t.Helper()
	if err := g.Fault(g.t.Context(), fleet.Fault{Target: target, Kind: string(kind)}); err != nil {
		g.t.Fatal(err)
	}
}
