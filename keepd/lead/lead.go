// Package lead does the duties of the leading keepd: it takes the heartbeats
// of entry instances, executes commands through the replicated log, drives
// orders to engines and lets the planner choose role changes.
package lead

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/roster"
	"verbenahaven.example/core/version/slice"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
)

// proposeTimeout bounds the wait for a command to be committed.
const proposeTimeout = 2 * time.Second

// Lead is the part of a member that is active while it leads.
type Lead struct {
	settings *conf.Settings
	log      node.Log
	store    *store.Store
	clock    clock.Clock
	meter    *meter.Registry
	engines  Engines
	fleet    Fleet // nil where operators declare the engines
	paces    Paces // of the fleet

	stopping atomic.Bool

	mutex  sync.Mutex
	term   uint64 // of the roster and the slices
	roster *roster.Roster
	slices *slice.Allocator
}

// New returns the duties of a member. Serve starts them.
func New(s *conf.Settings, l node.Log, st *store.Store, c clock.Clock, m *meter.Registry, e Engines) *Lead {
	return &Lead{settings: s, log: l, store: st, clock: c, meter: m, engines: e}
}

// notLeader is the answer that leads callers to the leader.
func (l *Lead) notLeader() error {
	if l.stopping.Load() {
		return &link.Remote{Code: link.CodeStopping}
	}
	return &link.Remote{Code: link.CodeNotLeader, Detail: l.log.Status().Leader}
}

// hold calls f with what this leader knows of the instances, in the term of
// the lease that it holds. It fails when no lease is held.
func (l *Lead) hold(f func(now time.Duration, term uint64)) error {
	term, remaining := l.log.Lease()
	if remaining <= 0 || l.stopping.Load() {
		return l.notLeader()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Elapsed()
	if term < l.term {
		return l.notLeader()
	}
	if term != l.term {
		l.begin(now, term)
	}
	f(now, term)
	return nil
}

// begin forgets what an earlier term of this member knew.
func (l *Lead) begin(now time.Duration, term uint64) {
	klog.Infof("leading in term %d", term)
	l.meter.Count("lead", "terms")
	l.term = term
	l.roster = roster.New(now, roster.Settings{
		Lease:  time.Duration(l.settings.Member.Lease),
		Holder: time.Duration(l.settings.Ledger.Holder),
		Term:   term,
	})
	l.slices = slice.New(now, time.Duration(l.settings.Member.Lease))
}

// leading returns the term while a lease is held, else 0.
func (l *Lead) leading() uint64 {
	var held uint64
	_ = l.hold(func(_ time.Duration, term uint64) { held = term })
	return held
}

// propose replicates a command and returns its result as an R. A result that
// is an error is returned as such.
func propose[R any](ctx context.Context, l *Lead, c store.Command) (R, error) {
	var result R
	c.Term, _ = l.log.Lease()
	b, err := store.Encode(c, l.clock.Now())
	if err != nil {
		return result, fmt.Errorf("propose: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := l.log.Propose(ctx, b)
	if err != nil {
		return result, l.failed(err)
	}
	if answer == nil {
		return result, nil
	}
	switch v := answer.(type) {
	case error:
		return result, fmt.Errorf("execute: %w", v)
	case R:
		return v, nil
	}
	panic(fmt.Sprintf("lead: command gave %T", answer))
}

// failed translates a failure of the log for callers on other instances.
func (l *Lead) failed(err error) error {
	switch {
	case errors.Is(err, node.ErrLost):
		l.meter.Count("unknown", "propose")
		return &link.Remote{Code: link.CodeInternal, Detail: "outcome unknown: " + err.Error()}
	case errors.Is(err, node.ErrNotLeader):
		l.meter.Count("refused", "not_leader")
		return l.notLeader()
	case errors.Is(err, node.ErrFull):
		l.meter.Count("refused", "full")
		return &link.Remote{Code: link.CodeFull}
	case errors.Is(err, node.ErrStopped):
		l.meter.Count("refused", "stopping")
		return &link.Remote{Code: link.CodeStopping}
	}
	l.meter.Count("unknown", "propose")
	return &link.Remote{Code: link.CodeInternal, Detail: err.Error()}
}

// Serve does all duties until ctx ends. From then on callers are sent to
// another keeper, before the links close.
func (l *Lead) Serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { l.stopping.Store(true) })()
	var group sync.WaitGroup
	for _, duty := range []func(context.Context){l.runCare, l.runOrders, l.runPlan, l.runList, l.runFleet, l.runReports} {
		group.Go(func() { duty(ctx) })
	}
	group.Wait()
}

// every calls f once a period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

func (l *Lead) read(f func(*state.State, *ledger.Ledger)) {
	l.store.Read(f)
}
