// Package lead implements the work of the keepd that leads the replicated log:
// it receives the heartbeats of entry instances, proposes commands to the log,
// delivers role-change orders to engines, polls the platform's lists and the
// engines' load reports, and runs the planner that chooses role changes.
package lead

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/delta"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/quota"
	"verbenahaven.example/core/version/roster"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/core/version/usage"
	"verbenahaven.example/keepd/conf"
)

// proposeTimeout bounds the wait for a command to be committed.
const proposeTimeout = 2 * time.Second

// Leader serves the requests and runs the background loops of a member of the
// log. Except for Watch, they act only while the member leads.
type Leader struct {
	settings      *conf.Settings
	log           node.Log
	store         *store.Store
	clock         clock.Clock
	meter         *meter.Registry
	engines       EngineClient
	discovery     Discovery     // nil where operators declare the engines
	pollIntervals PollIntervals // of the discovery
	duties        DutyClient    // nil where the platform expects no calls
	dutyLimiter   *rate.Limiter // of the calls of all duties

	stopping atomic.Bool

	mutex     sync.Mutex
	term      uint64 // of the roster and the allocator
	termStart time.Duration
	roster    *roster.Roster
	allocator *quota.Allocator
	work      *delta.Sender[proto.EngineWork] // to placing instances, of the term
	limits    *pace.Board                     // of backend servers
	notices   *notice.Board                   // the same
	path      *path                           // to the engines, of the term
	usage     *usage.Collector                // of the term; nil without usage reports
	heardAt   map[string]time.Time            // latest report, by engine

	handedOverAt time.Time // in any term

	fleetMutex    sync.Mutex  // locked before the mutex
	lastFleet     state.Fleet // as last listed
	lastFleetTerm uint64      // in which it was listed
}

// New returns a Leader. Serve starts its background loops.
func New(s *conf.Settings, l node.Log, st *store.Store, c clock.Clock, m *meter.Registry, e EngineClient) *Leader {
	return &Leader{settings: s, log: l, store: st, clock: c, meter: m, engines: e, limits: pace.NewBoard(), notices: notice.NewBoard(), path: newPath(), dutyLimiter: newDutyLimiter(s.Duties.MaxRate)}
}

const (
	// minWorkChange is the number of engines with work from which only changes are sent, and
	// maxWorkReceivers that of instances for which the leader keeps what it sent.
	minWorkChange    = 128
	maxWorkReceivers = 16
	// revisionBits is the number of low bits that count what is sent in a term; the term is in
	// the bits above.
	revisionBits = 32
)

// notLeaderError returns the error that redirects clients to the leader, or to
// any other member while this one is stopping.
func (l *Leader) notLeaderError() error {
	if l.stopping.Load() {
		return &link.RemoteError{Code: link.CodeStopping}
	}
	return &link.RemoteError{Code: link.CodeNotLeader, Detail: l.log.Status().Leader}
}

// withLease calls f with the mutex locked, so that f may use the roster and the
// allocator, which belong to the term of the lease held. Without a lease it
// returns an error and doesn't call f.
func (l *Leader) withLease(f func(now time.Duration, term uint64)) error {
	term, remaining := l.log.Lease()
	if remaining <= 0 || l.stopping.Load() {
		return l.notLeaderError()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Elapsed()
	if term < l.term {
		return l.notLeaderError()
	}
	if term != l.term {
		l.startTerm(now, term)
	}
	f(now, term)
	return nil
}

// startTerm discards what this member learned in an earlier term as leader.
func (l *Leader) startTerm(now time.Duration, term uint64) {
	klog.Infof("leading in term %d", term)
	l.meter.Count("lead", "terms")
	l.term, l.termStart = term, now
	l.roster = roster.New(now, roster.Settings{
		Lease:         time.Duration(l.settings.Member.Lease),
		HolderTimeout: time.Duration(l.settings.Ledger.HolderTimeout),
		Term:          term,
	})
	l.work = delta.NewSender(proto.WorkEngine, minWorkChange, maxWorkReceivers, term<<revisionBits)
	l.allocator = quota.New(now, time.Duration(l.settings.Member.Lease))
	l.path = newPath()
	l.startUsage(now, term)
	l.heardAt = make(map[string]time.Time)
}

// heldTerm returns the term of the lease held, or 0 without a lease.
func (l *Leader) heldTerm() uint64 {
	var leaseTerm uint64
	_ = l.withLease(func(_ time.Duration, term uint64) { leaseTerm = term })
	return leaseTerm
}

// propose replicates a command and returns the result of its execution as an
// R. A result that is an error is returned as the error.
func propose[R any](ctx context.Context, l *Leader, c store.Command) (R, error) {
	var result R
	if err := l.checkLevel(&c); err != nil {
		return result, err
	}
	c.Term, _ = l.log.Lease()
	b, err := store.Encode(c, l.clock.Now())
	if err != nil {
		return result, fmt.Errorf("propose: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	applied, err := l.log.Propose(ctx, b)
	if err != nil {
		return result, l.remoteError(err)
	}
	if applied == nil {
		return result, nil
	}
	switch v := applied.(type) {
	case error:
		return result, fmt.Errorf("execute: %w", v)
	case R:
		return v, nil
	}
	panic(fmt.Sprintf("lead: command gave %T", applied))
}

// remoteError translates an error of the log into one that clients on other
// instances can decode.
func (l *Leader) remoteError(err error) error {
	switch {
	case errors.Is(err, node.ErrOutcomeUnknown):
		l.meter.Count("unknown", "propose")
		return &link.RemoteError{Code: link.CodeInternal, Detail: "outcome unknown: " + err.Error()}
	case errors.Is(err, node.ErrNotLeader):
		l.meter.Count("refused", "not_leader")
		return l.notLeaderError()
	case errors.Is(err, node.ErrQueueFull):
		l.meter.Count("refused", "full")
		return &link.RemoteError{Code: link.CodeOverloaded}
	case errors.Is(err, node.ErrNoRoom):
		l.meter.Count("refused", "no_room")
		return &link.RemoteError{Code: link.CodeNoRoom, Detail: err.Error()}
	case errors.Is(err, node.ErrTooLarge):
		l.meter.Count("refused", "too_large")
		return &link.RemoteError{Code: link.CodeTooLarge, Detail: err.Error()}
	case errors.Is(err, node.ErrStopped):
		l.meter.Count("refused", "stopping")
		return &link.RemoteError{Code: link.CodeStopping}
	}
	l.meter.Count("unknown", "propose")
	return &link.RemoteError{Code: link.CodeInternal, Detail: err.Error()}
}

// Serve runs all background loops until ctx ends. From then on requests are
// answered with link.CodeStopping, so that clients turn to another keeper
// before the links close.
func (l *Leader) Serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { l.stopping.Store(true) })()
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){l.runMaintenance, l.runOrders, l.runPlanner, l.runInstanceList, l.runFleetSync, l.runReportPolling, l.watchPath, l.runUsage, l.runUsageReports, l.runDuties, l.runScaling} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
}

// runEvery calls f once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, f func()) {
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

func (l *Leader) readState(f func(*state.State, *ledger.Ledger)) {
	l.store.Read(f)
}
