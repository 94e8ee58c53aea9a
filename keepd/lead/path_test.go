package lead_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
)

var errUnreachable = errors.New("unreachable")

// fakeFleet is the discovery of a platform whose engines fail as a test sets.
type fakeFleet struct {
	engines []state.Engine
	servers []state.Server
	stagger time.Duration // between the results of one engine and of the next
	duties  lead.DutyClient

	mutex  sync.Mutex
	failed map[string]bool
	silent bool            // failed engines don't answer, instead of refusing at once
	orders int             // probes and orders
	asked  map[string]bool // engines whose reports were read
	leaves map[string]bool // engines that report that they are leaving

	copies       []proto.Report // that come before the next reports, until the connections are closed
	disconnected int
	ordered      map[string]uint64 // orders that an engine counts
}

func newFakeFleet(engines int) *fakeFleet {
	f := &fakeFleet{asked: make(map[string]bool)}
	for i := range engines {
		f.engines = append(f.engines, state.Engine{
			Name: fmt.Sprint("e", i), URL: fmt.Sprintf("http://10.0.0.%d:1", i+1), Role: state.RoleDecode, Phase: state.PhaseServing,
		})
	}
	return f
}

func (f *fakeFleet) List(context.Context) (state.Fleet, error) {
	return state.Fleet{Engines: slices.Clone(f.engines), Servers: slices.Clone(f.servers)}, nil
}

func (f *fakeFleet) Report(ctx context.Context, e state.Engine) (proto.Report, error) {
	f.mutex.Lock()
	failed, silent, leaves := f.failed[e.Name], f.silent, f.leaves[e.Name]
	f.asked[e.Name] = true
	if len(f.copies) > 0 && f.copies[0].Engine == e.Name {
		p := f.copies[0]
		f.copies = f.copies[1:]
		f.mutex.Unlock()
		return p, nil
	}
	ordered := f.ordered[e.Name]
	f.mutex.Unlock()
	time.Sleep(time.Duration(slices.IndexFunc(f.engines, func(o state.Engine) bool { return o.Name == e.Name })) * f.stagger)
	switch {
	case !failed:
		time.Sleep(time.Millisecond)
		return proto.Report{Role: e.Role, Leaving: leaves, Orders: ordered}, nil
	case silent:
		<-ctx.Done()
	}
	return proto.Report{}, errUnreachable
}

func (f *fakeFleet) Disconnect(state.Engine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.copies = nil
	f.disconnected++
}

func (f *fakeFleet) Probe(ctx context.Context, e state.Engine) (engine.Status, error) {
	f.countOrder()
	p, err := f.Report(ctx, e)
	return engine.Status{Engine: e.Name, Role: p.Role}, err
}

func (f *fakeFleet) Order(ctx context.Context, _ *guard.Writer, e state.Engine, _ state.Order, _ uint64) (engine.OrderResult, error) {
	f.countOrder()
	_, err := f.Report(ctx, e)
	return engine.OrderResult{}, err
}

func (f *fakeFleet) countOrder() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders++
}

func (f *fakeFleet) sentOrders() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.orders
}

// fail makes the first n engines fail and the others work.
func (f *fakeFleet) fail(n int, silent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silent, f.failed = silent, make(map[string]bool)
	for _, e := range f.engines[:n] {
		f.failed[e.Name] = true
	}
}

// runFor lets real and fake time pass together, until done if that isn't nil.
func (b *testLeader) runFor(d time.Duration, done func() bool) bool {
	const step = 5 * time.Millisecond
	for range d / step {
		if done != nil && done() {
			return true
		}
		time.Sleep(step)
		b.clock.advance(step)
	}
	return false
}

// reported returns the numbers of engines that an entry instance is told to be
// alive and dead.
func (b *testLeader) reported(t *testing.T) (alive, dead int) {
	t.Helper()
	r, err := b.Heartbeat(t.Context(), "entry", heartbeat("entry", state.PhaseServing))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range r.Reports {
		if p.Alive {
			alive++
		} else {
			dead++
		}
	}
	return alive, dead
}

func (b *testLeader) waitForReports(t *testing.T, alive, dead int) {
	t.Helper()
	var a, d int
	if !b.runFor(5*time.Second, func() bool { a, d = b.reported(t); return a == alive && d == dead }) {
		t.Fatalf("told of %d live and %d dead engines, want %d and %d", a, d, alive, dead)
	}
}

func (b *testLeader) requireNoneDead(t *testing.T) {
	t.Helper()
	b.runFor(2*time.Second, func() bool {
		if _, dead := b.reported(t); dead > 0 {
			t.Fatalf("told that %d engines are dead", dead)
		}
		return false
	})
}

func TestCutLeaderReportsNoEngineDead(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent=", silent), func(t *testing.T) {
			t.Parallel()
			fleet := newFakeFleet(12)
			b := newDiscoveringLeader(t, nil, fleet)
			b.waitForReports(t, 12, 0)
			fleet.fail(12, silent)
			b.requireNoneDead(t)
			if n := b.meter.Value("report", "failed"); n < 12 {
				t.Fatalf("%d failed reports, want one of each engine", n)
			}
			if n := b.meter.Value("path", "cut"); n != 1 {
				t.Fatalf("path cut %d times, want 1", n)
			}
			fleet.fail(0, silent)
			b.requireNoneDead(t)
			fleet.fail(1, silent)
			b.waitForReports(t, 11, 1)
		})
	}
}

// A single engine that answers shows that the path isn't cut.
func TestLastEngineShowsThatPathIsSound(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(12)
	fleet.stagger = 5 * time.Millisecond
	b := newDiscoveringLeader(t, nil, fleet)
	b.waitForReports(t, 12, 0)
	fleet.fail(11, false)
	b.runFor(time.Second, nil)
	b.waitForReports(t, 1, 11)
	if n := b.meter.Value("path", "cut"); n > 0 {
		t.Errorf("path taken for cut %d times", n)
	}
}

func TestLeaderReportsFailedEnginesDead(t *testing.T) {
	for _, c := range []struct {
		engines, failed int
		silent          bool
	}{{1, 1, false}, {2, 1, false}, {12, 1, true}, {12, 2, false}, {12, 6, false}, {12, 8, true}, {12, 11, false}} {
		t.Run(fmt.Sprintf("%d of %d silent=%t", c.failed, c.engines, c.silent), func(t *testing.T) {
			t.Parallel()
			fleet := newFakeFleet(c.engines)
			b := newDiscoveringLeader(t, nil, fleet)
			b.waitForReports(t, c.engines, 0)
			fleet.fail(c.failed, c.silent)
			started := b.clock.Now()
			b.waitForReports(t, c.engines-c.failed, c.failed)
			if d := b.clock.Now().Sub(started); d > time.Second {
				t.Errorf("told after %v", d)
			}
			b.runFor(time.Second, nil)
			if n := b.meter.Value("path", "cut"); n > 0 {
				t.Errorf("path taken for cut %d times", n)
			}
		})
	}
}

func (b *testLeader) waitForHandOvers(t *testing.T, n int) {
	t.Helper()
	if !b.runFor(5*time.Second, func() bool { return b.log.requestedHandOvers() == n }) {
		t.Fatalf("leadership handed over %d times, want %d", b.log.requestedHandOvers(), n)
	}
}

func (b *testLeader) requireHandOvers(t *testing.T, n int) {
	t.Helper()
	b.runFor(1500*time.Millisecond, nil)
	if got := b.log.requestedHandOvers(); got != n {
		t.Fatalf("leadership handed over %d times, want %d", got, n)
	}
}

func TestCutLeaderHandsOver(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(12)
	b := newDiscoveringLeader(t, func(s *conf.Settings) { s.Order.DrainTimeout = boot.Duration(100 * time.Millisecond) }, fleet)
	b.log.handsOver = true
	b.waitForReports(t, 12, 0)
	command, err := store.Encode(store.Command{Term: 1, OpenOrder: &store.OrderRequest{Engine: "e0", Role: state.RolePrefill}}, b.clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	started := b.clock.Now()
	fleet.fail(12, false)
	if _, err := b.log.Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
	b.waitForHandOvers(t, 1)
	if d := b.clock.Now().Sub(started); d < time.Second || d > 2*time.Second {
		t.Errorf("handed over after %v, want 1 s to 2 s", d)
	}
	b.runFor(100*time.Millisecond, nil) // what is under way ends
	sent := fleet.sentOrders()
	if sent == 0 {
		t.Error("nothing was sent for the open order before")
	}
	b.requireHandOvers(t, 1)
	if n := fleet.sentOrders(); n != sent {
		t.Errorf("%d messages for an order after the end of the lease", n-sent)
	}
}

func TestLeadershipDoesNotCircleWhenAllKeepersAreCut(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet(12)
	b := newDiscoveringLeader(t, nil, fleet)
	b.log.handsOver = true
	b.waitForReports(t, 12, 0)
	fleet.fail(12, false)
	b.waitForHandOvers(t, 1)
	b.clock.advance(4 * time.Second)
	b.log.set(3, time.Second, nil) // the successors are cut, too
	b.requireHandOvers(t, 1)
	b.clock.advance(5 * time.Second)
	b.waitForHandOvers(t, 2)
}

func TestFailedEnginesKeepLeader(t *testing.T) {
	for _, failed := range []int{1, 6, 11} {
		t.Run(fmt.Sprint(failed), func(t *testing.T) {
			t.Parallel()
			fleet := newFakeFleet(12)
			b := newDiscoveringLeader(t, nil, fleet)
			b.waitForReports(t, 12, 0)
			fleet.fail(failed, false)
			b.requireHandOvers(t, 0)
		})
	}
}
