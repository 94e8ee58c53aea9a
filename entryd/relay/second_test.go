package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// spans is a backend that records when each of its decode requests was at work.
type spans struct {
	*silentBackend
	mutex sync.Mutex
	begun []time.Time
	ended []time.Time
}

func (b *spans) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	n := len(b.begun)
	b.begun, b.ended = append(b.begun, time.Now()), append(b.ended, time.Time{})
	b.mutex.Unlock()
	defer func() {
		b.mutex.Lock()
		b.ended[n] = time.Now()
		b.mutex.Unlock()
	}()
	b.silentBackend.ServeHTTP(w, r)
}

// overlap returns how long the first two requests were at work at the same time, once
// both have ended, without the time in which the process stood still.
func (b *spans) overlap(t *testing.T, s *standstills) time.Duration {
	t.Helper()
	for range 100 {
		b.mutex.Lock()
		begun, ended := b.begun, slices.Clone(b.ended)
		b.mutex.Unlock()
		if len(begun) == 2 && !ended[0].IsZero() && !ended[1].IsZero() {
			end := slices.MinFunc(ended, time.Time.Compare)
			return end.Sub(begun[1]) - s.within(begun[1], end)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not two requests that ended")
	return 0
}

// standstills are the times in which this process didn't run, as a timer shows.
type standstills struct {
	mutex sync.Mutex
	list  [][2]time.Time // begin and end
	seen  time.Time      // until then
}

func watchStandstills(t *testing.T) *standstills {
	t.Helper()
	const tick, late = 5 * time.Millisecond, 20 * time.Millisecond
	s := &standstills{seen: time.Now()}
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	group.Go(func() {
		for t.Context().Err() == nil {
			time.Sleep(tick)
			s.mutex.Lock()
			before, now := s.seen, time.Now()
			if now.Sub(before) > late {
				s.list = append(s.list, [2]time.Time{before.Add(tick), now})
			}
			s.seen = now
			s.mutex.Unlock()
		}
	})
	return s
}

// within returns how much of a time they take.
func (s *standstills) within(from, to time.Time) (sum time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.seen.Before(to) {
		s.mutex.Unlock()
		time.Sleep(time.Millisecond)
		s.mutex.Lock()
	}
	for _, v := range s.list {
		begin, end := slices.MaxFunc([]time.Time{v[0], from}, time.Time.Compare), slices.MinFunc([]time.Time{v[1], to}, time.Time.Compare)
		sum += max(0, end.Sub(begin))
	}
	return sum
}

// 400 ms is what two engines may work on one request.
func TestSecondAttemptRunsBesideFirstOnlyBriefly(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		target              time.Duration
	}{
		{"the second takes its time", "1 3s 2", "550ms 2", 200 * time.Millisecond},
		{"the second is as silent", "1 1600ms 2", "3s 2", 200 * time.Millisecond},
		{"the first goes on", "1 800ms 2 900ms 3", "550ms 2 3", 200 * time.Millisecond},
		{"late target", "1 3s 2", "1100ms 2", 800 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := &spans{silentBackend: &silentBackend{lines: []string{c.first, c.second}}}
			f := newSilentCall(t, b, 2, 2, 1)
			f.route.LatencyTarget = c.target
			s := watchStandstills(t)
			got := deliverTo(t, f)
			if o := b.overlap(t, s); o > 400*time.Millisecond || !strings.HasSuffix(got, " whole\n") {
				t.Errorf("the first engine works %v beside the second, the caller gets %s", o, got)
			}
		})
	}
}

func TestEventsOfFirstEngineDontWaitForSecond(t *testing.T) {
	b := &silentBackend{lines: []string{"1 800ms 2 3", "3s 2 3"}}
	f := newSilentCall(t, b, 2, 2, 1)
	f.route.LatencyTarget = 800 * time.Millisecond
	start := time.Now()
	got := deliverTo(t, f)
	if took := time.Since(start); took > 1300*time.Millisecond {
		t.Errorf("an answer that the engine ended after 800 ms took %v: %s", took, got)
	}
}

func TestSecondAttemptThatIsNotMadeLeavesNoTrial(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
	}{{"no budget", 2}, {"no engine", 1}} {
		t.Run(c.name, func(t *testing.T) {
			f := newSilentCall(t, &silentBackend{}, c.engines, 2, 0)
			f.start, f.deadline = f.clock.Now(), f.clock.Now().Add(2*time.Second)
			f.pass = f.screen.Begin("1", "request/1", nil)
			f.screen.Begin("2", "request/1", nil).Lost("other", false)
			if _, err := f.beginSend("0"); err != nil {
				t.Fatal(err)
			}
			if f.scheduleSecond(context.Background(), &run{name: "0"}) != nil {
				t.Fatal("a second attempt begins")
			}
			if f.pass.Suspected() {
				t.Error("the trial goes on though nothing was sent")
			}
		})
	}
}

// A sound engine may fall silent for a second.
func TestSilenceIsNoLossUnderRequest(t *testing.T) {
	for _, lines := range []string{"1 3s\n2", "1 3s\n900ms 2"} {
		t.Run(lines, func(t *testing.T) {
			f := newSilentCall(t, &silentBackend{lines: strings.Split(lines, "\n")}, 2, 2, 1)
			f.pass = f.screen.Begin("1", "request/1", []string{"part/1"})
			got := deliverTo(t, f)
			if n := f.meter.Value("screen.lost"); n != 0 || !strings.HasSuffix(got, " whole\n") {
				t.Errorf("%d losses under the request, the caller gets %s", n, got)
			}
		})
	}
}

func TestSilentPrefillIsNoLossUnderRequest(t *testing.T) {
	b := &splitBackend{silentBackend: &silentBackend{lines: []string{"1"}}, prefills: []time.Duration{3 * time.Second}}
	f := newSplitCall(t, b, 2, 1)
	f.pass = f.screen.Begin("1", "request/1", []string{"part/1"})
	got := deliverTo(t, f)
	if n := f.meter.Value("screen.lost"); n != 0 || !strings.HasSuffix(got, " whole\n") {
		t.Errorf("%d losses under the request, the caller gets %s", n, got)
	}
}

// splitBackend stands for prefill engines too. It records the handles that are freed.
type splitBackend struct {
	*silentBackend
	prefills []time.Duration // silence of each prefill
	made     int
	freed    []string
}

func (b *splitBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodDelete:
		b.update(func() { b.freed = append(b.freed, r.URL.Path) })
	case r.Header.Get("Stage") != "":
		w.Header().Set("Request-Id", "1")
		w.Header().Set("Server-Signature", "s")
		var n int
		b.update(func() { b.made++; n = b.made })
		if n <= len(b.prefills) {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(b.prefills[n-1]):
			}
		}
		fmt.Fprintf(w, `{"handle_id":"h%d","tokens":9}`, n)
	default:
		b.silentBackend.ServeHTTP(w, r)
	}
}

func newSplitCall(t *testing.T, b http.Handler, prefills, decodes int) *inflightCall {
	t.Helper()
	f := newSilentCall(t, b, 0, 2, 3)
	backend := httptest.NewServer(b)
	t.Cleanup(backend.Close)
	list := make([]state.Engine, 0, prefills+decodes)
	for i := range prefills + decodes {
		e := state.Engine{Name: fmt.Sprint(i), URL: backend.URL, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"}
		if i < prefills {
			e.Role = state.RolePrefill
		}
		list = append(list, e)
	}
	store := view.New()
	if err := store.Apply(state.View{Version: 1, Engines: list}); err != nil {
		t.Fatal(err)
	}
	f.fleet.SetSnapshot(store.Current())
	f.snapshot = store.Current()
	return f
}

func TestPrefillOfEngineThatIsLeftIsFreed(t *testing.T) {
	b := &splitBackend{silentBackend: &silentBackend{lines: []string{"3s", "1"}}}
	f := newSplitCall(t, b, 2, 2)
	got := deliverTo(t, f)
	time.Sleep(100 * time.Millisecond)
	b.update(func() {
		if b.made != 2 || !slices.Contains(b.freed, "/-/kv-handle/h1") || slices.Contains(b.freed, "/-/kv-handle/h2") {
			t.Errorf("%d prefills, freed: %q, the caller gets %s", b.made, b.freed, got)
		}
	})
}

func TestSilentPrefillAtOnlyEngineEndsNoAnswer(t *testing.T) {
	b := &splitBackend{silentBackend: &silentBackend{lines: []string{"1"}}, prefills: []time.Duration{1200 * time.Millisecond}}
	f := newSplitCall(t, b, 1, 2)
	if got := deliverTo(t, f); !strings.HasSuffix(got, " whole\n") {
		t.Errorf("%d prefills, the caller gets %s", b.made, got)
	}
}

// Preparations that were given up sent nothing.
func TestSilencesDontUseUpTries(t *testing.T) {
	pause := " 700ms "
	b := &splitBackend{
		silentBackend: &silentBackend{lines: []string{"1" + pause + "2" + pause + "3" + pause + "4 break", "5"}},
		prefills:      []time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
	}
	f := newSplitCall(t, b, 3, 3)
	f.fleet.budget.SetLimits(time.Minute, 9*perRetry, 0)
	if got := deliverTo(t, f); !strings.HasSuffix(got, " whole\n") {
		t.Errorf("%d prefills, the caller gets %s", b.made, got)
	}
}

// placingBroker places all calls at the first engine that isn't to be avoided.
type placingBroker struct {
	Broker
	mutex sync.Mutex
	asked []string // IDs
}

func (b *placingBroker) Ask(_ context.Context, _ string, r *proto.PlaceRequest) (*proto.PlaceReply, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.asked = append(b.asked, r.ID)
	for _, name := range []string{"0", "1", "2"} {
		if !slices.Contains(r.Avoid, name) {
			return &proto.PlaceReply{ID: r.ID, Decode: name}, nil
		}
	}
	return nil, context.DeadlineExceeded
}

func (b *placingBroker) Tell(string, *proto.PlaceEvent) {}

func (b *placingBroker) Share(string, []proto.StreamOrigin) {}

// The end of an attempt is told repeatedly, and must not end the next one.
func TestAttemptsOfCallArePlacedUnderOwnIDs(t *testing.T) {
	f := newSplitCall(t, &splitBackend{silentBackend: &silentBackend{lines: []string{"break", "1 break", "2"}}}, 0, 3)
	f.route.MaxAttempts = 3
	b := &placingBroker{}
	f.fleet.broker = b
	f.fleet.delegate.SetBroker("broker")
	got := deliverTo(t, f)
	slices.Sort(b.asked)
	if distinct := slices.Compact(slices.Clone(b.asked)); len(b.asked) != 3 || len(distinct) != 3 || !strings.HasSuffix(got, " whole\n") {
		t.Errorf("placed under %q, the caller gets %s", b.asked, got)
	}
}

// The head of the second engine's answer may arrive at the moment of the hand-over.
func TestHandOverDoesNotReadAnswerThatArrives(t *testing.T) {
	var group sync.WaitGroup
	for i := range 160 {
		second := fmt.Sprint(maxOverlap+time.Duration(i-80)*100*time.Microsecond, " 2")
		f := newSilentCall(t, &silentBackend{lines: []string{"1 3s", second}}, 2, 2, 1)
		w := httptest.NewRecorder()
		f.w = w
		group.Go(func() {
			f.forward(t.Context())
			if got := strings.Count(w.Body.String(), "id: "); got != 2 {
				t.Errorf("%s: %d events", second, got)
			}
		})
	}
	group.Wait()
}

func TestSilencesAtAnyMomentLeaveNothingBehind(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, 0))
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	var group sync.WaitGroup
	for i := range 48 {
		lines := make([]string, 3)
		for n := range lines {
			lines[n] = randomLine(random)
		}
		leaves := time.Duration(600+random.IntN(1500)) * time.Millisecond
		stays := i%3 > 0
		group.Go(func() {
			b := &silentBackend{lines: lines}
			f := newSplitCall(t, &splitBackend{silentBackend: b, prefills: []time.Duration{0, 320 * time.Millisecond}}, i%2, 3)
			f.route.MaxAttempts = 3
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if !stays {
				time.AfterFunc(leaves, cancel)
			}
			w := httptest.NewRecorder()
			f.w = w
			func() {
				defer func() {
					if r := recover(); r != nil && r != http.ErrAbortHandler { //nolint:errorlint // it is panicked with as it is
						panic(r)
					}
				}()
				f.forward(ctx)
			}()
			if work := f.fleet.OwnWork(); len(work) > 0 || len(f.fleet.inFlight) > 0 || len(f.mayHaveRun) > 3 || f.tries > maxTries+1 {
				t.Errorf("seed %d, %q: in flight %v, work %v, ran %q, %d tries", seed, lines, f.fleet.inFlight, work, f.mayHaveRun, f.tries)
			}
			last := 0
			for line := range strings.Lines(w.Body.String()) {
				if id, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
					if last++; id != strconv.Itoa(last) {
						t.Errorf("seed %d, %q: event %s in place of %d", seed, lines, id, last)
					}
				}
			}
		})
	}
	group.Wait()
}

// randomLine returns the steps of an engine that sends all events after the last one
// that the caller has, with pauses around the times at which an engine is left.
func randomLine(random *rand.Rand) string {
	steps := []string{fmt.Sprint(random.IntN(700), "ms")}
	for range 4 {
		steps = append(steps, "next", fmt.Sprint([]int{0, 590, 600, 610, 895, 900, 905}[random.IntN(7)], "ms"))
	}
	return strings.Join(append(steps, []string{"next", "break", "2s"}[random.IntN(3)]), " ")
}

// newFullListener returns the address of a listener that lets connections wait unanswered.
func newFullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, _ := unix.Getsockname(fd)
	bound, _ := name.(*unix.SockaddrInet4)
	address := fmt.Sprintf("127.0.0.1:%d", bound.Port)
	for range 3 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

func TestSilentEngineIsNotLeftForOneThatCantBeReached(t *testing.T) {
	b := &splitBackend{silentBackend: &silentBackend{lines: []string{"1 1900ms 2"}}}
	f := newSplitCall(t, b, 0, 2)
	f.fleet.budget.SetLimits(time.Minute, perRetry, 0)
	engines := f.snapshot.Engines()
	engines[1].URL = "http://" + newFullListener(t)
	f.fleet.local.Update(engines, nil)
	f.avoid = []string{engines[1].Name} // at first
	if got := deliverTo(t, f); !strings.HasSuffix(got, " whole\n") {
		t.Errorf("the caller gets %s", got)
	}
	if f.meter.Value("conn.dial_failed") == 0 {
		t.Error("the other engine was not tried")
	}
}
