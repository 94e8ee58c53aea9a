package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// newTestCall returns a call with a prompt that hasn't been admitted yet, in a
// fleet of one prefill and one decode engine.
func newTestCall(t *testing.T, c clock.Clock) (*inflightCall, *place.Request) {
	t.Helper()
	f := NewFleet("a", "z", retry.NewSharedBudget(time.Second, 0, 0), func([]string) {})
	f.placer.Update([]state.Engine{
		{Name: "p", URL: "http://10.0.0.1:1", Pool: "m", Role: state.RolePrefill, Phase: state.PhaseServing, Centre: "z"},
		{Name: "d", URL: "http://10.0.0.2:1", Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"},
	}, nil)
	r := &Proxy{fleet: f, meter: meter.New(), clock: c}
	serverCall := &server.Call{ID: "1", Prompt: &server.Prompt{
		Tokens: 9000, MaxOutput: 100, Parts: []server.Part{{ID: "shared", Tokens: 6000}, {ID: "own", Tokens: 3000}},
	}}
	call := &inflightCall{
		Proxy: r, call: serverCall, snapshot: view.New().Current(), targetPool: state.Pool{Name: "m"},
		route: state.Route{LatencyTarget: 200 * time.Millisecond}, deadline: c.Now().Add(2 * time.Second),
	}
	return call, &place.Request{ID: "1", Pool: "m", Prompt: serverCall.Prompt}
}

// addPrefillWork adds calls, deferred or not, to the prefill engine until
// another such call has to wait for at least the given time.
func addPrefillWork(t *testing.T, f *inflightCall, wait time.Duration, deferred bool) {
	t.Helper()
	for i := 0; ; i++ {
		request := &place.Request{ID: fmt.Sprint("busy", i, deferred), Pool: "m", Prompt: f.call.Prompt, Deferred: deferred}
		plan, err := f.fleet.pickEngines(f.clock.Now(), request)
		if err != nil {
			t.Fatal(err)
		}
		if plan.QueueWait >= wait {
			return
		}
		plan.Decode = state.Engine{} // no load on the decode engine
		f.fleet.placer.RecordSent(f.clock.Now(), request, &plan)
	}
}

func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name                     string
		onTimeWork, deferredWork time.Duration // already queued
		deferred                 bool
		refused                  bool
	}{
		{name: "idle"},
		{name: "some work", onTimeWork: 50 * time.Millisecond},
		{name: "deferred calls don't delay it", deferredWork: 400 * time.Millisecond},
		{name: "too late to be on time", onTimeWork: 190 * time.Millisecond, deferred: true},
		{name: "too late at all", onTimeWork: 190 * time.Millisecond, deferredWork: 400 * time.Millisecond, deferred: true, refused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, request := newTestCall(t, clock.System())
			addPrefillWork(t, f, c.onTimeWork, false)
			addPrefillWork(t, f, c.deferredWork, true)
			plan, err := f.fleet.pickEngines(f.clock.Now(), request)
			if err != nil {
				t.Fatal(err)
			}
			plan, err = f.admit(request, plan)
			if c.refused != errors.Is(err, errBusy) || !c.refused && err != nil {
				t.Fatalf("refused: %v, want %v", err, c.refused)
			}
			if request.Deferred != c.deferred {
				t.Fatalf("deferred: %v, want %v", request.Deferred, c.deferred)
			}
			if !c.refused && plan.Decode.Name == "" {
				t.Fatal("admitted without a decode engine")
			}
		})
	}
}

// A refused caller is told to retry as late as its remaining time allows, so
// that a load peak may have passed by then.
func TestRefusalRetryAfter(t *testing.T) {
	f, _ := newTestCall(t, clock.System())
	if d := f.retryAfterBusy(0); d < 600*time.Millisecond || d > 667*time.Millisecond {
		t.Errorf("with 2 s left: Retry-After %v, want a third of it", d)
	}
	f.deadline = f.clock.Now().Add(time.Minute)
	if d := f.retryAfterBusy(0); d != maxRetryAfter {
		t.Errorf("with a minute left: Retry-After %v, want %v", d, maxRetryAfter)
	}
	f.deadline = f.clock.Now().Add(100 * time.Millisecond)
	if d := f.retryAfterBusy(0); d != busyRetryAfter {
		t.Errorf("with 100 ms left: Retry-After %v, want %v", d, busyRetryAfter)
	}
}

// A stream that ends early because its caller hung up must not count as broken;
// one that the system cuts must.
func TestIncompleteStreamCounters(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
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
		{"cut at the end of the shutdown", cancelled, true, -time.Millisecond, "stream.broken"},
		{"deadline exceeded", expired, false, 0, "stream.broken"},
		{"connection lost by the engine", context.Background(), false, 0, "stream.broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newTestCall(t, clock.System())
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
	f, request := newTestCall(t, clock.System())
	for _, c := range []struct{ target, expected, want time.Duration }{
		{200 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond},
		{800 * time.Millisecond, 50 * time.Millisecond, 2400 * time.Millisecond},
		{200 * time.Millisecond, 400 * time.Millisecond, 1600 * time.Millisecond},
	} {
		f.route.LatencyTarget = c.target
		if d := f.firstProgressTimeout(request, &place.Plan{TimeToFirstEvent: c.expected}); d != c.want {
			t.Errorf("target %v, %v expected: given up after %v, want %v", c.target, c.expected, d, c.want)
		}
	}
}
