package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

const testGap = 20 * time.Millisecond

// pacedEngine streams as many events as the path says, with a gap before each but the first,
// and answers plain calls after as many gaps. The first stream of the kind "broken" breaks off
// after two events.
type pacedEngine struct {
	asked     atomic.Int32
	prefills  atomic.Int32
	onPrefill func() // before the answer to a prefill, nil for nothing
}

func (e *pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Stage") == "prefill" {
		e.prefills.Add(1)
		if e.onPrefill != nil {
			e.onPrefill()
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		fmt.Fprint(w, `{"handle_id":"h","tokens":1}`)
		return
	}
	if r.Method == http.MethodDelete {
		return
	}
	asked := e.asked.Add(1)
	var kind string
	var n int
	_, _ = fmt.Sscanf(r.URL.Path, "/%d/%s", &n, &kind)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Signature", "s")
	if kind == "plain" {
		time.Sleep(time.Duration(n) * testGap)
		return
	}
	w.Header().Set("Content-Type", stream.ContentType)
	begin, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	for i := begin; i < n; i++ {
		if i > 0 {
			time.Sleep(testGap)
		}
		if kind == "broken" && asked == 1 && i == 2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// leavingInstance is an instance whose calls can be cut.
type leavingInstance struct {
	first  *inflightCall
	engine *pacedEngine
	cutAt  atomic.Pointer[time.Time]
	ids    int

	store        *view.Store
	backend      string
	promptTokens int
	hint         int    // of the callers, of the tokens of an answer, 0 for none
	lastEventID  string // that callers have of the stream "begun", empty for new answers
}

func newLeavingInstance(t *testing.T) *leavingInstance {
	t.Helper()
	s := &leavingInstance{engine: &pacedEngine{}, promptTokens: 20, store: view.New()}
	s.first = newScriptedCall(t, nil, "resumable", "v")
	backend := httptest.NewServer(s.engine)
	t.Cleanup(backend.Close)
	s.backend = backend.URL
	s.setEngines(t, state.RoleDecode)
	s.first.targetPool.Spec = &state.EngineSpec{MaxTokensPerEvent: 10}
	s.first.draining = func() (time.Duration, bool) {
		at := s.cutAt.Load()
		if at == nil {
			return 0, false
		}
		return time.Until(*at), true
	}
	return s
}

// setEngines gives the instance one engine of each role, named after it.
func (s *leavingInstance) setEngines(t *testing.T, roles ...state.Role) {
	t.Helper()
	list := make([]state.Engine, 0, len(roles))
	for _, r := range roles {
		list = append(list, state.Engine{Name: string(r), URL: s.backend, Pool: "m", Role: r, Phase: state.PhaseServing, Centre: "z", Build: "v"})
	}
	servers := []state.Server{{Name: "v-0", URL: s.backend, Service: "plain", Phase: state.PhaseServing, Build: "v"}}
	if err := s.store.Apply(state.View{Version: s.store.Current().Version() + 1, Engines: list, Servers: servers}); err != nil {
		t.Fatal(err)
	}
	s.first.fleet.SetSnapshot(s.store.Current())
}

// setGap tells the instance the gap between an engine's events.
func (s *leavingInstance) setGap(r state.Role) {
	s.first.fleet.local.ApplyReports(time.Now(), []proto.Report{{Engine: string(r), EventGap: testGap, GapSeen: true}}, nil)
}

// fillMemory takes all memory for answers.
func (s *leavingInstance) fillMemory() []*body.Hold {
	answers := s.first.memory.answers
	held := []*body.Hold{answers.Hold(0)}
	for n := answers.Size(); held[len(held)-1].Grow(n); n = answerStart {
		held = append(held, answers.Hold(0))
	}
	return held
}

// leave makes the instance cut its calls after a time.
func (s *leavingInstance) leave(after time.Duration) {
	at := time.Now().Add(after)
	s.cutAt.Store(&at)
}

// call sends a call whose answer has n events, of at most as many tokens as declared, and
// returns what its caller gets.
func (s *leavingInstance) call(t *testing.T, kind string, n, most int, deadline time.Duration) string {
	t.Helper()
	s.ids++
	f := *s.first
	f.call = &server.Call{
		ID: fmt.Sprint(s.ids), Method: http.MethodGet, Target: fmt.Sprintf("/%d/%s", n, kind), Host: "h", Header: http.Header{"Request-Id": {fmt.Sprint(s.ids)}},
	}
	if kind == "plain" {
		f.route.Kind, f.route.Resumable = state.RouteIdempotent, false
		f.targetPool = state.Pool{Name: "plain"}
	} else {
		f.call.Prompt = &server.Prompt{Tokens: s.promptTokens, MaxOutput: most, OutputHint: s.hint, Parts: []server.Part{{ID: "own", Tokens: s.promptTokens}}}
	}
	f.call.LastEventID, f.call.Resumes = s.lastEventID, "begun"
	f.start, f.route.Timeout = f.clock.Now(), deadline
	f.pass = f.screen.Begin(f.call.ID, "", nil)
	defer f.pass.Close()
	return deliverUntil(t, &f, s.cutAt.Load())
}

// countEvents returns the number of events until a body ends.
func countEvents(r io.Reader) (int, error) {
	content, err := io.ReadAll(r)
	return bytes.Count(content, []byte("id: ")), err //nolint:wrapcheck // only compared with nil
}

// deliverUntil runs a call that is cut at a time, nil for never.
func deliverUntil(t *testing.T, f *inflightCall, cutAt *time.Time) string {
	t.Helper()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cut := context.WithCancelCause(r.Context())
		defer cut(nil)
		if cutAt != nil {
			defer time.AfterFunc(time.Until(*cutAt), func() { cut(leave.ErrCut) }).Stop()
		}
		f.w = w
		f.forward(ctx)
	}))
	defer front.Close()
	a, err := http.Get(front.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.Header.Get("Entry-Unable") != "" {
		return "unable"
	}
	events, err := countEvents(a.Body)
	if err != nil {
		return fmt.Sprint("cut after ", events)
	}
	return fmt.Sprintf("%d, %d events", a.StatusCode, events)
}

// A mean over short answers made long ones look as if they ended before the cut.
func TestLeavingInstanceCutsNoCallThatItTook(t *testing.T) {
	s := newLeavingInstance(t)
	for range 60 {
		if got := s.call(t, "stream", 2, 2, 20*time.Second); got != "200, 2 events" {
			t.Fatalf("short answer: %s", got)
		}
	}
	s.setGap(state.RoleDecode)
	for _, c := range []struct {
		name, kind string
		events     int
		most       int
		hint       int
		left       time.Duration
		deadline   time.Duration
		want       string
	}{
		{"long answer", "stream", 60, 60, 0, time.Second, 20 * time.Second, "503, 0 events"},
		{"long answer that its caller expects to be short", "stream", 300, 300, 20, 5 * time.Second, 20 * time.Second, "503, 0 events"},
		{"short answer of a kind that may be long", "stream", 5, 60, 0, time.Second, 20 * time.Second, "503, 0 events"},
		{"long answer that ends in time", "stream", 30, 60, 0, 8 * time.Second, 20 * time.Second, "200, 30 events"},
		{"deadline before the cut", "stream", 5, 60, 0, 5 * time.Second, 4 * time.Second, "200, 5 events"},
		{"no limit of the answer", "stream", 60, 0, 0, time.Second, 20 * time.Second, "503, 0 events"},
		{"plain call with a long timeout", "plain", 60, 0, 0, time.Second, 20 * time.Second, "503, 0 events"},
		{"plain call", "plain", 2, 0, 0, 5 * time.Second, 4 * time.Second, "200, 0 events"},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := s.engine.asked.Load()
			s.hint = c.hint
			s.leave(c.left)
			if got := s.call(t, c.kind, c.events, c.most, c.deadline); got != c.want {
				t.Errorf("the caller gets %s, want %s", got, c.want)
			}
			if refused := c.want[:3] == "503"; refused && s.engine.asked.Load() != asked {
				t.Error("the engine got a call that was refused as not run")
			}
		})
	}
}

// Answers were taken to have as few events as the pool's engines may make of their tokens, so
// that streams whose events hold one token were cut.
func TestLeavingInstanceCutsNoStreamOfOneTokenEvents(t *testing.T) {
	s := newLeavingInstance(t)
	for range 20 { // earlier events held more
		if got := s.call(t, "stream", 2, 20, 20*time.Second); got != "200, 2 events" {
			t.Fatalf("earlier answer: %s", got)
		}
	}
	s.setGap(state.RoleDecode)
	s.leave(8 * time.Second)
	asked := s.engine.asked.Load()
	if got := s.call(t, "stream", 500, 500, 20*time.Second); got != "503, 0 events" || s.engine.asked.Load() != asked {
		t.Errorf("the caller gets %s, the engine %d calls", got, s.engine.asked.Load()-asked)
	}
	if got := s.call(t, "stream", 40, 40, 20*time.Second); got != "200, 40 events" {
		t.Errorf("the caller of an answer that ends in time gets %s", got)
	}
}

// Nothing is known of the engines' pace just after a start.
func TestLeavingInstanceGoesByDeadlineWithoutPace(t *testing.T) {
	s := newLeavingInstance(t)
	s.leave(time.Second)
	if got := s.call(t, "stream", 60, 60, 20*time.Second); got != "503, 0 events" {
		t.Errorf("the caller gets %s", got)
	}
}

// An engine without long answers yet was taken to be as fast as others of its pool.
func TestLeavingInstanceGoesByDeadlineWithoutPaceOfEngine(t *testing.T) {
	s := newLeavingInstance(t)
	s.first.fleet.local.ApplyReports(time.Now(), []proto.Report{{Engine: string(state.RoleDecode), EventGap: testGap / 10}}, nil)
	s.leave(5500 * time.Millisecond)
	if got := s.call(t, "stream", 400, 400, 20*time.Second); got != "503, 0 events" || s.engine.asked.Load() != 0 {
		t.Errorf("the caller gets %s, the engine %d calls", got, s.engine.asked.Load())
	}
}

// The signal came while a call that was taken before it waited for its prefill.
func TestCallThatWaitsWhenShutdownBeginsIsNotCut(t *testing.T) {
	s := newLeavingInstance(t)
	s.engine.onPrefill = func() { s.leave(time.Second) }
	s.setEngines(t, state.RoleDecode, state.RolePrefill)
	s.setGap(state.RoleDecode)
	s.promptTokens = 9000
	if got := s.call(t, "stream", 60, 60, 20*time.Second); got != "503, 0 events" || s.engine.asked.Load() != 0 {
		t.Errorf("the caller gets %s, the decode engine %d calls", got, s.engine.asked.Load())
	}
}

// A caller that takes up a stream has events, but none from this instance.
func TestResumedCallThatWaitsWhenShutdownBeginsIsNotCut(t *testing.T) {
	s := newLeavingInstance(t)
	s.first.fleet.Remember([]proto.StreamOrigin{{ID: "begun", Pool: "m", Build: "v", Left: time.Minute}})
	s.lastEventID = "7"
	s.engine.onPrefill = func() { s.leave(time.Second) }
	s.setEngines(t, state.RoleDecode, state.RolePrefill)
	s.setGap(state.RoleDecode)
	s.promptTokens = 9000
	if got := s.call(t, "stream", 60, 60, 20*time.Second); got != "503, 0 events" || s.engine.asked.Load() != 0 || s.cutAt.Load() == nil {
		t.Errorf("the caller gets %s, the decode engine %d calls", got, s.engine.asked.Load())
	}
}

// The check came before the waits of the call.
func TestPlainCallThatWaitsForMemoryWhenShutdownBeginsIsNotSent(t *testing.T) {
	s := newLeavingInstance(t)
	held := s.fillMemory()
	time.AfterFunc(100*time.Millisecond, func() {
		s.leave(time.Second)
		for _, h := range held {
			h.Release()
		}
	})
	if got := s.call(t, "plain", 2, 0, 20*time.Second); got != "503, 0 events" || s.engine.asked.Load() != 0 {
		t.Errorf("the caller gets %s, the server %d calls", got, s.engine.asked.Load())
	}
}

// What engines got of a call counts against the retry budget of this instance only.
func TestLeavingInstanceGivesBackNoCallThatReachedEngines(t *testing.T) {
	s := newLeavingInstance(t)
	s.first.ofPeer = true
	s.engine.onPrefill = func() { s.leave(time.Second) }
	s.setEngines(t, state.RoleDecode, state.RolePrefill)
	s.setGap(state.RoleDecode)
	s.promptTokens = 9000
	for _, want := range []string{"503, 0 events", "unable"} { // the second call comes after the signal
		if got := s.call(t, "stream", 60, 60, 20*time.Second); got != want {
			t.Errorf("the other instance gets %s, want %s", got, want)
		}
	}
}

// dialSignal is told of connections and begins the shutdown while one is dialled, after as
// many as skipped.
type dialSignal struct {
	*path
	skipped int
	leave   func()
}

// Dialling implements httpc.Observer.
func (d *dialSignal) Dialling(address string) {
	d.path.Dialling(address)
	if d.skipped--; d.skipped < 0 {
		d.leave()
	}
}

// The last check came before the wait for a connection.
func TestCallThatWaitsForConnectionWhenShutdownBeginsIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name, kind string
		ofPeer     bool
		skipped    int
		prompt     int
		want       string
		asked      int32
	}{
		{name: "stream", kind: "stream", want: "503, 0 events"},
		{name: "plain call", kind: "plain", want: "503, 0 events"},
		{name: "prefill", kind: "stream", prompt: 9000, want: "503, 0 events"},
		{name: "stream of another instance", kind: "stream", ofPeer: true, want: "unable"},
		{name: "plain call of another instance", kind: "plain", ofPeer: true, want: "unable"},
		{name: "stream with events delivered", kind: "broken", skipped: 1, want: "200, 5 events", asked: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newLeavingInstance(t)
			s.setEngines(t, state.RoleDecode, state.RoleMixed, state.RolePrefill)
			s.setGap(state.RoleDecode)
			s.first.ofPeer = c.ofPeer
			s.promptTokens = max(s.promptTokens, c.prompt)
			s.first.pool.SetObserver(&dialSignal{path: s.first.fleet.path, skipped: c.skipped, leave: func() { s.leave(time.Second) }})
			if got := s.call(t, c.kind, 5, 60, 20*time.Second); got != c.want {
				t.Errorf("the caller gets %s, want %s", got, c.want)
			}
			if n := s.engine.asked.Load() + s.engine.prefills.Load(); n != c.asked || s.cutAt.Load() == nil {
				t.Errorf("the servers got %d requests, want %d", n, c.asked)
			}
			m := s.first.meter
			if lost := m.Value("screen", "lost") + m.Value("stream", "broken"); c.asked == 0 && (lost > 0 || m.Value("leaving", "refused") != 1) {
				t.Errorf("%d losses, %d refusals", lost, m.Value("leaving", "refused"))
			}
		})
	}
}

// A call that is passed on runs through the instance, too.
func TestCallThatWaitsForOtherInstanceWhenShutdownBeginsIsNotPassedOn(t *testing.T) {
	list := newPeers(t, httptest.NewServer(nil), 1, 1)
	var leaving atomic.Bool
	list[0].draining = func() (time.Duration, bool) { return time.Second, leaving.Load() }
	list[0].Proxy.peers.SetObserver(&dialSignal{path: list[0].fleet.path, leave: func() { leaving.Store(true) }})
	a := send(t, newCallTo(t, list[0], "7", "/unsafe/", "x"))
	if n := list[1].meter.Value("peer", "taken"); a.StatusCode != http.StatusServiceUnavailable || n != 0 || !leaving.Load() {
		t.Errorf("the caller gets %d, the other instance %d calls", a.StatusCode, n)
	}
	if n := list[0].meter.Value("peer", "cut", "kept"); n != 1 {
		t.Errorf("%d calls kept", n)
	}
}

// Calls that were cut looked in the log and in the counters as if their callers had left.
func TestCutCallIsToldWhetherItRan(t *testing.T) {
	for _, c := range []struct {
		name, kind  string
		beforeFirst bool // the cut comes while the call waits for memory
		want        string
	}{
		{"plain call that reached its server", "plain", false, "502, 0 events"},
		{"plain call that waits", "plain", true, "503, 0 events"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newLeavingInstance(t)
			if c.beforeFirst {
				s.fillMemory()
			}
			at := time.Now().Add(100 * time.Millisecond)
			s.first.draining = func() (time.Duration, bool) { return time.Until(at), time.Until(at) <= 0 }
			s.cutAt.Store(&at)
			if got := s.call(t, c.kind, 100, 0, 20*time.Second); got != c.want {
				t.Errorf("the caller gets %s, want %s", got, c.want)
			}
			if m := s.first.meter; m.Value("caller", "left") != 0 || m.Value("leaving", "cut") != 1 {
				t.Errorf("%d callers left, %d calls cut", m.Value("caller", "left"), m.Value("leaving", "cut"))
			}
		})
	}
}
