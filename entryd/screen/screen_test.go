package screen_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/screen"
)

// longestName is the longest name that keepers take, in bytes.
const longestName = 512

// fakeKeeper holds the record of causes; a silent one doesn't answer.
type fakeKeeper struct {
	proto.Keeper
	mutex  sync.Mutex
	state  *state.State
	silent bool
}

func newKeeper() *fakeKeeper { return &fakeKeeper{state: state.New()} }

func (k *fakeKeeper) Screen(_ context.Context, r state.Screening) (state.Permission, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	b, err := codec.Marshal(r)
	if err != nil {
		return state.Permission{}, err
	}
	var received state.Screening
	if err := codec.Unmarshal(b, &received); err != nil {
		return state.Permission{}, err
	}
	if k.silent || len(r.Trial) > longestName {
		return state.Permission{}, context.DeadlineExceeded
	}
	return k.screenAt(time.Now(), received), nil
}

// screenAt applies a screening at a time. The caller holds the mutex or is alone.
func (k *fakeKeeper) screenAt(now time.Time, r state.Screening) state.Permission {
	k.state.BeginCommand(k.state.Index()+1, now)
	return k.state.Screen(r)
}

func (k *fakeKeeper) fallSilent() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.silent = true
}

// instance is an entry instance that learns the state when it is told to.
type instance struct {
	*screen.Screen
	store *view.Store
}

func (i *instance) Snapshot() *view.Snapshot { return i.store.Current() }

func newInstance(t *testing.T, k *fakeKeeper) *instance {
	t.Helper()
	i := &instance{store: view.New()}
	i.Screen = screen.New(k, i, meter.New(), slog.New(slog.DiscardHandler), clock.System())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); i.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return i
}

// learn brings an instance to the keepers' state.
func (i *instance) learn(t *testing.T, k *fakeKeeper) {
	t.Helper()
	k.mutex.Lock()
	v := k.state.View(0)
	k.mutex.Unlock()
	if err := i.store.Apply(v); err != nil && !errors.Is(err, view.ErrStale) {
		t.Fatal(err)
	}
}

// crash makes attempts with a part that ends each engine until one isn't sent, and
// returns how many were.
func crash(t *testing.T, i *instance, request string, attempts int) int {
	t.Helper()
	p := i.Begin(request, "request/"+request, []string{"part/first", "part/bad"})
	defer p.Close()
	if p.Held() != nil {
		return 0
	}
	for n := range attempts {
		if err := p.Permit(t.Context()); err != nil {
			var held *screen.HeldError
			if !errors.As(err, &held) || held.Wait <= 0 {
				t.Fatalf("refused with %v", err)
			}
			return n
		}
		p.Lost(fmt.Sprint("engine of ", request, n), false)
	}
	return attempts
}

// The bound also holds while no keeper answers.
func TestRequestsWithCrashingPartAreBounded(t *testing.T) {
	for _, silent := range []bool{false, true} {
		k := newKeeper()
		k.silent = silent
		i := newInstance(t, k)
		sent := 0
		for n := range 30 {
			sent += crash(t, i, fmt.Sprint("r", n), 2)
			i.learn(t, k)
		}
		if sent < 2 || sent > 5 {
			t.Errorf("keepers silent: %v: %d attempts, 2 to 5 wanted", silent, sent)
		}
	}
}

// Requests that share the other parts are sent.
func TestFoundCauseIsRefusedEverywhere(t *testing.T) {
	k := newKeeper()
	first, second := newInstance(t, k), newInstance(t, k)
	for n := range 6 {
		crash(t, first, fmt.Sprint("r", n), 2)
	}
	second.learn(t, k)
	first.learn(t, k)
	sound := second.Begin("s", "request/s", []string{"part/first", "part/other"})
	if err := errors.Join(sound.Held(), sound.Permit(t.Context())); err != nil {
		t.Fatalf("a sound request: %v", err)
	}
	sound.Completed()
	for known := true; known; _, known = first.Snapshot().Strike("part/first") {
		first.learn(t, k)
	}
	for _, i := range []*instance{first, second} {
		var held *screen.HeldError
		if err := i.Begin("x", "request/x", []string{"part/first", "part/bad"}).Held(); !errors.As(err, &held) || held.Cause != "part/bad" {
			t.Errorf("a request with the part is refused with %v", err)
		}
	}
}

// Otherwise each crash would hold up all requests that share a first part.
func TestCompletedPartIsNotSuspected(t *testing.T) {
	k := newKeeper()
	i := newInstance(t, k)
	for n := range 10 {
		p := i.Begin(fmt.Sprint("s", n), fmt.Sprint("request/s", n), []string{"part/first", "part/other"})
		p.Completed()
		victim := i.Begin(fmt.Sprint("v", n), fmt.Sprint("request/v", n), []string{"part/first"})
		victim.Lost(fmt.Sprint("engine ", n), false)
		victim.Close()
	}
	k.fallSilent() // a question would be answered by the own record
	p := i.Begin("x", "request/x", []string{"part/first"})
	if err := errors.Join(p.Held(), p.Permit(t.Context())); err != nil {
		t.Fatalf("a request with the part: %v", err)
	}
}

// A request that ran beside the one that ended the engine isn't refused.
func TestVictimMidAnswerIsSentAgain(t *testing.T) {
	k := newKeeper()
	i := newInstance(t, k)
	p := i.Begin("v", "request/v", []string{"part/v"})
	defer p.Close()
	for n := range 2 {
		if err := p.Permit(t.Context()); err != nil {
			t.Fatalf("attempt %d: %v", n, err)
		}
		p.Lost(fmt.Sprint("engine ", n), true)
	}
	other := i.Begin("w", "request/w", []string{"part/v"})
	k.fallSilent()
	if err := errors.Join(other.Held(), other.Permit(t.Context())); err != nil {
		t.Fatalf("another request with its part: %v", err)
	}
}

// A trial whose attempt wasn't sent, or was turned away, makes room for another.
func TestEndedTrialMakesRoom(t *testing.T) {
	k := newKeeper()
	i := newInstance(t, k)
	crash(t, i, "r", 1)
	i.learn(t, k)
	for n := range 10 {
		p := i.Begin(fmt.Sprint("t", n), "", []string{"part/bad"})
		if err := p.Permit(t.Context()); err != nil {
			t.Fatalf("trial %d: %v", n, err)
		}
		p.Spared(n%2 == 0)
		p.Close()
	}
}

// A trial that reached a prefill engine only is one all the same.
func TestPrefilledTrialCounts(t *testing.T) {
	for _, prefilled := range []bool{false, true} {
		k := newKeeper()
		i := newInstance(t, k)
		for n := range 5 {
			l := &state.Loss{Engine: fmt.Sprint("e", n), Causes: []state.Cause{{Name: "part/bad", Part: true}}}
			k.screenAt(time.Now().Add(-time.Hour), state.Screening{Loss: l})
		}
		i.learn(t, k)
		p := i.Begin("a", "", []string{"part/bad"})
		if err := p.Permit(t.Context()); err != nil {
			t.Fatalf("the first trial: %v", err)
		}
		if prefilled {
			p.Prefilled()
		}
		p.Spared(false)
		patience := 2 * time.Second
		if prefilled {
			patience = 200 * time.Millisecond
		}
		deadline, allowed := time.Now().Add(patience), false
		for !allowed && time.Now().Before(deadline) {
			next := i.Begin("b", "", []string{"part/bad"})
			allowed = next.Permit(t.Context()) == nil
		}
		if allowed == prefilled {
			t.Errorf("prefilled %v: another trial is permitted: %v", prefilled, allowed)
		}
	}
}

// Callers choose the IDs of their requests.
func TestLongRequestIDIsTakenByKeepers(t *testing.T) {
	k := newKeeper()
	i := newInstance(t, k)
	crash(t, i, strings.Repeat("x", 2*longestName), 10)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, v := range k.state.View(0).Strikes {
		if v.Fingerprint == "part/bad" && len(v.LostEngines) == 3 {
			return
		}
	}
	t.Fatalf("the keepers know of %+v", k.state.View(0).Strikes)
}

// IDs that no message can hold must not hide from the keepers what crashes engines.
func TestRequestWithOddBytesIsTakenByKeepers(t *testing.T) {
	k := newKeeper()
	i := newInstance(t, k)
	p := i.Begin("r\xff", "", strike.PartCauses([]string{"\xfe", "\xff"}))
	defer p.Close()
	for n := range 10 {
		if p.Permit(t.Context()) != nil {
			break
		}
		p.Lost(fmt.Sprint("engine", n), false)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	list := k.state.View(0).Strikes
	if len(list) != 2 || len(list[0].LostEngines) == 0 || list[0].Fingerprint == list[1].Fingerprint {
		t.Fatalf("the keepers know of %+v", list)
	}
}
