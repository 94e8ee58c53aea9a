package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/front"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/quota"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/trail"
	"verbenahaven.example/entryd/watch"
)

const token = "secret"

// fakeKeeper holds the run-once ledger and the strikes in memory.
type fakeKeeper struct {
	mutex    sync.Mutex
	calls    map[string]proto.OnceRequest
	strikes  map[string]map[string]bool
	screened *state.State
	failing  bool // strike and ledger calls time out
	view     state.View
}

func newKeeper() *fakeKeeper {
	return &fakeKeeper{calls: map[string]proto.OnceRequest{}, strikes: map[string]map[string]bool{}, screened: state.New()}
}

func (k *fakeKeeper) Watch(ctx context.Context, r proto.WatchRequest) (proto.WatchReply, error) {
	if r.AfterVersion < k.view.Version {
		return proto.WatchReply{View: k.view}, nil
	}
	select {
	case <-ctx.Done():
		return proto.WatchReply{}, ctx.Err()
	case <-time.After(r.MaxWait):
		return proto.WatchReply{View: state.View{Version: k.view.Version, Since: k.view.Version}}, nil
	}
}

func (k *fakeKeeper) Heartbeat(context.Context, proto.HeartbeatRequest) (proto.HeartbeatReply, error) {
	return proto.HeartbeatReply{}, context.DeadlineExceeded
}

func (k *fakeKeeper) RequestGrants(context.Context, proto.GrantRequest) (proto.GrantReply, error) {
	return proto.GrantReply{}, context.DeadlineExceeded
}

func (k *fakeKeeper) Strike(_ context.Context, r proto.StrikeRequest) (proto.StrikeReply, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.failing {
		return proto.StrikeReply{}, context.DeadlineExceeded
	}
	if r.Clear {
		delete(k.strikes, r.Fingerprint)
		return proto.StrikeReply{}, nil
	}
	if k.strikes[r.Fingerprint] == nil {
		k.strikes[r.Fingerprint] = map[string]bool{}
	}
	k.strikes[r.Fingerprint][r.Engine] = true
	return proto.StrikeReply{Count: len(k.strikes[r.Fingerprint])}, nil
}

func (k *fakeKeeper) Screen(_ context.Context, r state.Screening) (state.Permission, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.failing {
		return state.Permission{}, context.DeadlineExceeded
	}
	k.screened.BeginCommand(k.screened.Index()+1, time.Now())
	return k.screened.Screen(r), nil
}

func (k *fakeKeeper) Once(_ context.Context, r proto.OnceRequest) (proto.OnceReply, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.failing {
		return proto.OnceReply{}, context.DeadlineExceeded
	}
	old, ok := k.calls[r.Key]
	switch r.Step {
	case proto.OnceBegin:
		switch {
		case !ok:
			k.calls[r.Key] = r
			return proto.OnceReply{Verdict: proto.VerdictProceed}, nil
		case old.Fingerprint != r.Fingerprint:
			return proto.OnceReply{Verdict: proto.VerdictConflict}, nil
		case old.Step == proto.OnceFinish && !old.OutcomeUnknown:
			return proto.OnceReply{Verdict: proto.VerdictReplay, Status: old.Status, ContentType: old.ContentType, Body: old.Body}, nil
		case old.Step == proto.OnceFinish:
			return proto.OnceReply{Verdict: proto.VerdictOutcomeUnknown}, nil
		}
		return proto.OnceReply{Verdict: proto.VerdictBusy}, nil
	case proto.OnceFinish:
		k.calls[r.Key] = r
		return proto.OnceReply{Verdict: proto.VerdictRecorded}, nil
	default:
		delete(k.calls, r.Key)
		return proto.OnceReply{Verdict: proto.VerdictClosed}, nil
	}
}

// fakeEngine streams its token numbers as text. Each fault is applied to one
// answer, in order; later answers are correct.
type fakeEngine struct {
	*httptest.Server
	mutex    sync.Mutex
	faults   []streamFault
	received []engine.Request

	crashText string // message that ends the engine when it begins an answer
	crashed   bool
}

type streamFault func(i int, e *engine.Event, w http.ResponseWriter) bool // returns false to drop the event

const answerTokens = 20

func newEngine(t *testing.T, faults ...streamFault) *fakeEngine {
	f := &fakeEngine{faults: faults}
	mux := http.NewServeMux()
	mux.HandleFunc(engine.PathState, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) })
	mux.HandleFunc(engine.PathCancel, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc(engine.PathPrefill, func(w http.ResponseWriter, r *http.Request) {
		q := f.decodeRequest(r)
		_ = json.NewEncoder(w).Encode(engine.PrefillResult{Attempt: q.Attempt, KVHandle: "h-" + q.Attempt})
	})
	mux.HandleFunc(engine.PathChat, f.chat)
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEngine) decodeRequest(r *http.Request) engine.Request {
	var q engine.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		panic(err)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.received = append(f.received, q)
	return q
}

func (f *fakeEngine) nextFault() streamFault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.faults) == 0 {
		return nil
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	return next
}

func (f *fakeEngine) chat(w http.ResponseWriter, r *http.Request) {
	q := f.decodeRequest(r)
	f.crashOn(&q)
	apply := f.nextFault()
	for i := q.DeliveredTokens; i < answerTokens; i++ {
		e := engine.Event{ID: "x", Attempt: q.Attempt, Token: i, Choices: []engine.Choice{{Delta: engine.Message{Content: fmt.Sprintf("%d ", i)}}}}
		if i == answerTokens-1 {
			e.Choices[0].FinishReason = "stop"
		}
		if apply != nil && !apply(i, &e, w) {
			continue
		}
		b, _ := json.Marshal(e)
		_, _ = w.Write(stream.AppendEvent(nil, b))
		_ = http.NewResponseController(w).Flush()
		if r.Context().Err() != nil {
			return
		}
	}
	if apply != nil && !apply(answerTokens, nil, w) {
		return
	}
	_, _ = w.Write(stream.AppendEvent(nil, []byte(engine.EndOfStream)))
}

// crashOn ends the engine if the request has its crashText.
func (f *fakeEngine) crashOn(q *engine.Request) {
	if f.crashText == "" || !slices.ContainsFunc(q.Messages, func(m engine.Message) bool { return m.Content == f.crashText }) {
		return
	}
	f.mutex.Lock()
	f.crashed = true
	f.mutex.Unlock()
	_ = f.Listener.Close()
	go f.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// testEntry is an entry instance that runs in the test process.
type testEntry struct {
	*httptest.Server
	keeper   *fakeKeeper
	balancer *picker.Balancer
	front    *front.API
	store    *view.Store
	meter    *meter.Registry
	lease    fakeLease
}

// fakeLease is held until dropped is set.
type fakeLease struct{ dropped atomic.Bool }

func (l *fakeLease) HoldsLease() bool { return !l.dropped.Load() }

func newTestEntry(t *testing.T, v state.View) *testEntry {
	digest := sha256.Sum256([]byte(token))
	v.Version = 1
	v.Accounts = append(v.Accounts, state.Account{Name: "desk", TokenDigest: hex.EncodeToString(digest[:])})
	k, m, c := newKeeper(), meter.New(), clock.System()
	k.view = v
	b := &testEntry{keeper: k, balancer: picker.New("entry1", "north", route.PolicyCache), store: view.New(), meter: m}
	w, cleanWatch := watch.New(watch.Settings{Name: "entry1", Fanout: 2, StaleAfter: time.Minute}, b.store, k, b.balancer, nil, m, c)
	p, cleanPool := pool.New()
	policy := retry.NewPolicy(0.1, time.Millisecond)
	sc := screen.New(k, b.balancer, m, slog.New(slog.DiscardHandler), c)
	i := infer.New(infer.Settings{SilenceTimeout: 200 * time.Millisecond, Retry: policy}, b.balancer, p, infer.NewStrikes(k, m, 2), sc, m, c)
	s, cleanPlain := plain.New(plain.Settings{Holder: "entry1/1", Retry: policy}, b.balancer, p, k, sc, m, c)
	f := front.New(front.Settings{
		Name: "entry1", Centre: "north", AddressTTL: time.Second, MaxAddresses: 2, MaxBodyBytes: 1 << 16, MaxHeaderBytes: 1 << 14, ReadTimeout: 2 * time.Second,
	}, b.balancer, w, i, s, quota.New("entry1", k, b.balancer, m, c), trail.New(), m, c, &b.lease)
	b.Server = httptest.NewUnstartedServer(nil)
	b.front, b.Config = f, f.Server(t.Context())
	b.Start()
	t.Cleanup(func() {
		b.Close()
		cleanPlain()
		cleanPool()
		cleanWatch()
	})
	// Subscribe before the watch runs, as the version may be applied at once.
	changed := b.store.Changed()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	screened := make(chan struct{})
	go func() {
		defer close(screened)
		sc.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		<-screened
	})
	for b.balancer.Snapshot().Version() == 0 {
		select {
		case <-changed:
			runtime.Gosched()
		case <-time.After(5 * time.Second):
			t.Fatal("no state applied within 5 s")
		}
	}
	return b
}

func (b *testEntry) send(t *testing.T, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, b.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Body.Close() })
	return a
}
