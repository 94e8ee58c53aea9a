package relay

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/screen"
)

// newTestFleet returns a fleet that schedules its own calls.
func newTestFleet() *Fleet {
	return NewFleet("a", "z", retry.NewSharedBudget(time.Second, 0, 0), nil, meter.New(), clock.System(), func([]string) {})
}

// stateKeeper is a keeper that can be reached at any time.
type stateKeeper struct {
	proto.Keeper
	mutex sync.Mutex
	state *state.State
}

func (k *stateKeeper) Screen(_ context.Context, r state.Screening) (state.Permission, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.BeginCommand(k.state.Index()+1, time.Now())
	return k.state.Screen(r), nil
}

// newTestCall returns a call with a prompt that hasn't been admitted yet, in a
// fleet of one prefill and one decode engine.
func newTestCall(t *testing.T, c clock.Clock) *inflightCall {
	t.Helper()
	f := newTestFleet()
	f.local.Update([]state.Engine{
		{Name: "p", URL: "http://10.0.0.1:1", Pool: "m", Role: state.RolePrefill, Phase: state.PhaseServing, Centre: "z"},
		{Name: "d", URL: "http://10.0.0.2:1", Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"},
	}, nil)
	r := &Proxy{fleet: f, meter: meter.New(), clock: c, memory: newMemory(defaultMemory)}
	r.screen = screen.New(&stateKeeper{state: state.New()}, f, r.meter, slog.New(slog.DiscardHandler), c)
	serverCall := &server.Call{ID: "1", Prompt: &server.Prompt{
		Tokens: 9000, MaxOutput: 100, Parts: []server.Part{{ID: "shared", Tokens: 6000}, {ID: "own", Tokens: 3000}},
	}}
	return &inflightCall{
		Proxy: r, call: serverCall, snapshot: view.New().Current(), targetPool: state.Pool{Name: "m"},
		route: state.Route{LatencyTarget: 200 * time.Millisecond}, deadline: c.Now().Add(2 * time.Second),
		pass: r.screen.Begin("1", "", nil),
	}
}

// A stream that ends early because its caller hung up must not count as broken;
// one that the system cuts must.
func TestIncompleteStreamCounters(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	stopped, cut := context.WithCancelCause(context.Background())
	cut(leave.ErrCut)
	expired, end := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer end()
	for _, c := range []struct {
		name      string
		ctx       context.Context
		draining  bool
		remaining time.Duration
		counter   string
	}{
		{"caller left", cancelled, false, 0, "caller.left"},
		{"caller left during shutdown", cancelled, true, time.Second, "caller.left"},
		{"cut at the end of the shutdown", stopped, true, -time.Millisecond, "stream.broken"},
		{"deadline exceeded", expired, false, 0, "stream.broken"},
		{"connection lost by the engine", context.Background(), false, 0, "stream.broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestCall(t, clock.System())
			f.log = slog.New(slog.DiscardHandler)
			f.draining = func() (time.Duration, bool) { return c.remaining, c.draining }
			f.logIncomplete(c.ctx, &answerStream{headSent: true, events: 3}, "why")
			for _, name := range []string{"caller.left", "stream.broken"} {
				want := int64(0)
				if name == c.counter {
					want = 1
				}
				if n := f.meter.Value(name); n != want {
					t.Errorf("%s: %d, want %d", name, n, want)
				}
			}
		})
	}
}

// An engine isn't given up while its work may still be on time for a caller
// with a late target, or while it is expected to take long.
func TestProgressTimeoutFollowsTarget(t *testing.T) {
	f := newTestCall(t, clock.System())
	for _, c := range []struct{ target, expected, want time.Duration }{
		{200 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond},
		{800 * time.Millisecond, 50 * time.Millisecond, 2400 * time.Millisecond},
		{200 * time.Millisecond, 400 * time.Millisecond, 1600 * time.Millisecond},
	} {
		f.route.LatencyTarget = c.target
		if d := f.firstProgressTimeout(&ticket{Decision: sched.Decision{Plan: place.Plan{TimeToFirstEvent: c.expected}}}); d != c.want {
			t.Errorf("target %v, %v expected: given up after %v, want %v", c.target, c.expected, d, c.want)
		}
	}
}

// Lost engines weren't picked again before the call had given up.
func TestCallGoesOnOnceLostEnginesAreBack(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second string
		want          string
	}{
		{"before the first event", `connection ""`, whole, `200 "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" whole`},
		{"inside the answer", firstHalf, secondHalf, `200 "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" whole`},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &scriptedBackend{answers: []string{c.first, c.second}}
			f := newScriptedCall(t, b, "resumable", "v1")
			if got := strings.TrimSpace(deliverTo(t, f)); got != c.want {
				t.Errorf("the caller gets %s, want %s", got, c.want)
			}
		})
	}
}
