package proof_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

const (
	waitTimeout = 15 * time.Second
	orderLease  = 500 * time.Millisecond
	orderFlight = 200 * time.Millisecond // longest time that bytes stay in the network
)

// keeperGroup is a running deployment for tests of the keepers' consensus,
// orders and ledger.
type keeperGroup struct {
	*fleet.Fleet
	t      *testing.T
	number uint64 // of the last command
}

// fastKeeperSettings returns keeper settings with short leases, so that failures
// are detected soon.
func fastKeeperSettings() map[string]any {
	return map[string]any{
		"order":  map[string]any{"lease": orderLease.String(), "margin": "50ms", "flight": orderFlight.String(), "drain": "300ms"},
		"plan":   map[string]any{"policy": "fixed"},
		"ledger": map[string]any{"holder": "1500ms"},
		"member": map[string]any{"lease": "1500ms"},
	}
}

func startKeeperGroup(t *testing.T, o fleet.Options) *keeperGroup {
	t.Helper()
	bin, err := fleet.BuildPrograms(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	o.Bin, o.Folder, o.Centres = bin, t.TempDir(), []string{"north", "middle", "south"}
	if o.Keepers == 0 {
		o.Keepers = 3
	}
	if o.KeeperSettings == nil {
		o.KeeperSettings = fastKeeperSettings()
	}
	f, cleanup, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, p := range append(f.Keepers(), f.Entries()...) {
				b, _ := os.ReadFile(p.LogPath())
				t.Logf("--- %s\n%s", p.Name(), b)
			}
		}
		cleanup()
	})
	return &keeperGroup{Fleet: f, t: t, number: 1000}
}

// fastEngine returns an engine that changes its role within 100 ms.
func fastEngine(name string, fenced bool) fleet.Engine {
	return fleet.Engine{
		Name: name, Centre: "north", Model: "spec", Role: state.RoleMixed, Fenced: fenced,
		ExtraSettings: map[string]any{"change": "100ms", "load": "100ms"},
	}
}

type keeperStatus struct {
	Role    string   `json:"role"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Version uint64   `json:"version"`
	Voters  []string `json:"voters"`
}

func (g *keeperGroup) status(p *fleet.Process) (keeperStatus, error) {
	var s keeperStatus
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	err := g.Get(ctx, p.URL()+"/status", &s)
	return s, err
}

// leader waits for a leader that isn't one of except.
func (g *keeperGroup) leader(except ...*fleet.Process) *fleet.Process {
	g.t.Helper()
	var found *fleet.Process
	g.waitFor("a leader", func() error {
		for _, p := range g.Keepers() {
			if !p.Running() || contains(except, p) {
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
	for _, other := range list {
		if other == p {
			return true
		}
	}
	return false
}

func (g *keeperGroup) waitFor(what string, ready func() error) {
	g.t.Helper()
	if err := fleet.Wait(g.t.Context(), waitTimeout, ready); err != nil {
		g.t.Fatalf("waiting for %s: %v", what, err)
	}
}

// runAt sends a text to one keeper until it succeeds, each time under the same
// command number.
func (g *keeperGroup) runAt(p *fleet.Process, format string, args ...any) proto.RunReply {
	g.t.Helper()
	g.number++
	r := proto.RunRequest{Operator: "operator", Number: g.number, Text: fmt.Sprintf(format, args...)}
	var reply proto.RunReply
	g.waitFor(r.Text, func() error {
		var err error
		reply, err = g.RunAt(g.t.Context(), p, r)
		return err
	})
	return reply
}

// waitRole waits until an engine has a role and is serving: no order is open on
// it.
func (g *keeperGroup) waitRole(p *fleet.Process, engine string, role state.Role) {
	g.t.Helper()
	g.waitFor(fmt.Sprintf("%s to be %s", engine, role), func() error {
		r := g.runAt(p, "ask engines where name = %s show role, phase", engine)
		row := r.Tables[0].Rows[0]
		if row[0] != string(role) || row[1] != string(state.PhaseServing) {
			return fmt.Errorf("role and phase are %v", row)
		}
		return nil
	})
}

// checkOrders checks that an engine got no conflicting orders, that they took
// effect in the order of their numbers, and that at least minChanges did.
func (g *keeperGroup) checkOrders(engine string, minChanges int) {
	g.t.Helper()
	var records []inject.Record
	if err := g.History(g.t.Context(), engine, &records); err != nil {
		g.t.Fatal(err)
	}
	changes, last := 0, uint64(0)
	for _, r := range records {
		if r.Conflict {
			g.t.Errorf("%s: order %d with fencing token %d conflicts (accepted %v, effect %s)", engine, r.Order.Number, r.Order.FencingToken, r.Accepted, r.Effect)
		}
		if r.Kind != inject.RecordOrder || r.Effect != "change" {
			continue
		}
		changes++
		if r.Order.Number < last {
			g.t.Errorf("%s: order %d took effect after order %d", engine, r.Order.Number, last)
		}
		last = r.Order.Number
	}
	if changes < minChanges {
		g.t.Errorf("%s: %d orders took effect, want at least %d", engine, changes, minChanges)
	}
}

func (g *keeperGroup) injectFault(target string, kind inject.FaultKind) {
	g.t.Helper()
	if err := g.InjectFault(g.t.Context(), fleet.Fault{Target: target, Kind: string(kind)}); err != nil {
		g.t.Fatal(err)
	}
}
