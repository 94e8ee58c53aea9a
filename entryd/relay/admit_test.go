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

// newFlight returns a call with a prompt that waits for admission in a fleet
// of one prefill and one decode engine.
func newFlight(t *testing.T, c clock.Clock) (*flight, *place.Ask) {
	t.Helper()
	f := NewFleet("a", "z", retry.NewShared(time.Second, 0, 0), func([]string) {})
	f.placer.Update([]state.Engine{
		{Name: "p", URL: "http://10.0.0.1:1", Pool: "m", Role: state.RolePrefill, Phase: state.PhaseServing, Centre: "z"},
		{Name: "d", URL: "http://10.0.0.2:1", Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"},
	}, nil)
	r := &Relay{fleet: f, meter: meter.New(), clock: c}
	call := &server.Call{ID: "1", Prompt: &server.Prompt{
		Tokens: 9000, Output: 100, Parts: []server.Part{{ID: "shared", Tokens: 6000}, {ID: "own", Tokens: 3000}},
	}}
	fl := &flight{
		Relay: r, call: call, snapshot: view.New().Current(), target: state.Pool{Name: "m"},
		route: state.Route{Target: 200 * time.Millisecond}, until: c.Now().Add(2 * time.Second),
	}
	return fl, &place.Ask{ID: "1", Pool: "m", Prompt: call.Prompt}
}

// busy gives the prefill engine work that takes a time, of late calls or not.
func busy(t *testing.T, f *flight, d time.Duration, later bool) {
	t.Helper()
	for i := 0; ; i++ {
		ask := &place.Ask{ID: fmt.Sprint("busy", i, later), Pool: "m", Prompt: f.call.Prompt, Later: later}
		plan, err := f.fleet.pick(f.clock.Now(), ask)
		if err != nil {
			t.Fatal(err)
		}
		if plan.Wait >= d {
			return
		}
		plan.Decode = state.Engine{} // only the prefill counts here
		f.fleet.placer.Sent(f.clock.Now(), ask, &plan)
	}
}

func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later time.Duration // work that is there
		behind       bool
		refused      bool
	}{
		{name: "idle"},
		{name: "some work", first: 50 * time.Millisecond},
		{name: "late calls don't matter", later: 400 * time.Millisecond},
		{name: "too late to be on time", first: 190 * time.Millisecond, behind: true},
		{name: "too late at all", first: 190 * time.Millisecond, later: 400 * time.Millisecond, behind: true, refused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, ask := newFlight(t, clock.System())
			busy(t, f, c.first, false)
			busy(t, f, c.later, true)
			plan, err := f.fleet.pick(f.clock.Now(), ask)
			if err != nil {
				t.Fatal(err)
			}
			plan, err = f.admit(ask, plan)
			if c.refused != errors.Is(err, errBusy) || !c.refused && err != nil {
				t.Fatalf("refused: %v, want %v", err, c.refused)
			}
			if ask.Later != c.behind {
				t.Fatalf("behind the others: %v, want %v", ask.Later, c.behind)
			}
			if !c.refused && plan.Decode.Name == "" {
				t.Fatal("no engine")
			}
		})
	}
}

// Who is refused comes back as late as it agrees to, so that a peak may be over.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	f, _ := newFlight(t, clock.System())
	if d := f.later(0); d < 600*time.Millisecond || d > 667*time.Millisecond {
		t.Errorf("with 2 s left: come back after %v, want a third of it", d)
	}
	f.until = f.clock.Now().Add(time.Minute)
	if d := f.later(0); d != latestRetry {
		t.Errorf("with a minute left: %v, want %v", d, latestRetry)
	}
	f.until = f.clock.Now().Add(100 * time.Millisecond)
	if d := f.later(0); d != roomRetry {
		t.Errorf("with little left: %v, want %v", d, roomRetry)
	}
}

// A caller that leaves in the middle of a stream is no fault of the system; a
// stream that the instance cuts is.
func TestBrokenStreamsAreToldFromCallersThatLeft(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	late, end := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer end()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		leaving bool
		left    time.Duration
		counter string
	}{
		{"caller left", gone, false, 0, "caller.left"},
		{"caller left an instance that shuts down", gone, true, time.Second, "caller.left"},
		{"end of the instance", gone, true, -time.Millisecond, "stream.broken"},
		{"out of time", late, false, 0, "stream.broken"},
		{"engine broke off", context.Background(), false, 0, "stream.broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newFlight(t, clock.System())
			f.log = slog.New(slog.DiscardHandler)
			f.leaving = func() (time.Duration, bool) { return c.left, c.leaving }
			f.endBroken(c.ctx, &stream{begun: true, events: 3}, "why")
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
