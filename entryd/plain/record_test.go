package plain

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/trail"
)

// slowLedger lets calls begin and refuses the first record of an outcome.
type slowLedger struct {
	proto.Keeper
	records atomic.Int32
	later   func(context.Context, proto.OnceRequest) error // takes the next records
}

func (l *slowLedger) Once(ctx context.Context, r proto.OnceRequest) (proto.OnceReply, error) {
	switch {
	case r.Step == proto.OnceBegin:
		return proto.OnceReply{Verdict: proto.VerdictProceed}, nil
	case l.records.Add(1) == 1:
		return proto.OnceReply{}, errors.New("no leader")
	}
	return proto.OnceReply{Verdict: proto.VerdictRecorded}, l.later(ctx, r)
}

// callOnce runs a run-once call whose outcome is recorded after its answer.
func callOnce(t *testing.T, later func(context.Context, proto.OnceRequest) error) (*Dispatcher, *meter.Registry) {
	t.Helper()
	s, m := newOnceDispatcher(t, &slowLedger{later: later})
	if a, err := s.Do(t.Context(), newOnceCall()); err != nil || string(a.Body) != "granted" {
		t.Fatalf("%q, %v", a.Body, err)
	}
	return s, m
}

func newOnceCall() *Call {
	return &Call{ID: "c", Key: "k", Service: state.Service{Name: "permit", AtMostOnce: true}, Method: http.MethodPost, Target: "/", Record: &trail.Record{}}
}

// newOnceDispatcher returns a dispatcher with a server that answers at once.
func newOnceDispatcher(t *testing.T, k proto.Keeper) (*Dispatcher, *meter.Registry) {
	t.Helper()
	return newTestDispatcher(t, k, nil, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "granted") })
}

// newTestDispatcher returns a dispatcher with a server.
func newTestDispatcher(t *testing.T, k proto.Keeper, answers *body.Budget, h http.HandlerFunc) (*Dispatcher, *meter.Registry) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	g, store, m, c := picker.New("entry1", "north", route.PolicyLoad), view.New(), meter.New(), clock.System()
	if err := store.Apply(state.View{Version: 1, Servers: []state.Server{{Name: "s", URL: server.URL, Service: "permit", Phase: state.PhaseServing}}}); err != nil {
		t.Fatal(err)
	}
	g.SetSnapshot(store.Current())
	p, cleanup := pool.New()
	t.Cleanup(cleanup)
	s, stop := New(Settings{Holder: "h", Retry: retry.NewPolicy(0.1, time.Millisecond), Answers: answers}, g, p, k,
		screen.New(nil, g, m, slog.New(slog.DiscardHandler), c), m, c)
	t.Cleanup(stop)
	return s, m
}

// The outcome was read while the call went on to its answer, a data race.
func TestOutcomeIsRecordedBesideAnswer(t *testing.T) {
	recorded := make(chan string, 1)
	callOnce(t, func(_ context.Context, r proto.OnceRequest) error {
		recorded <- string(r.Body)
		return nil
	})
	if got := <-recorded; got != "granted" {
		t.Errorf("recorded %q", got)
	}
}

// An instance that shut down waited up to 20 s for a ledger that couldn't be reached.
func TestShutdownGivesUpOutcomesThatLedgerDoesNotTake(t *testing.T) {
	hangs := make(chan struct{})
	s, m := callOnce(t, func(ctx context.Context, _ proto.OnceRequest) error {
		close(hangs)
		<-ctx.Done()
		return ctx.Err() //nolint:wrapcheck // a test
	})
	<-hangs
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	s.EndRecording(ctx)
	if took := time.Since(began); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("ended after %v", took)
	}
	if n := m.Value("once", "unrecorded"); n != 1 {
		t.Errorf("%d outcomes counted as unrecorded", n)
	}
}

// hangingLedger answers no step but that of the start, if it answers that.
type hangingLedger struct {
	proto.Keeper
	begins bool
	asked  chan proto.OnceStep
}

func (l *hangingLedger) Once(ctx context.Context, r proto.OnceRequest) (proto.OnceReply, error) {
	if r.Step == proto.OnceBegin && l.begins {
		return proto.OnceReply{Verdict: proto.VerdictProceed}, nil
	}
	l.asked <- r.Step
	<-ctx.Done()
	return proto.OnceReply{}, ctx.Err() //nolint:wrapcheck // a test
}

// The caller got no answer: a ledger that hangs kept the call until its connection was closed.
func TestCallIsAnsweredAtCutWhileLedgerHangs(t *testing.T) {
	for _, c := range []struct {
		name   string
		begins bool
		want   string
	}{
		{name: "start", want: "stopping: " + leave.ErrCut.Error()},
		{name: "outcome", begins: true, want: "granted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &hangingLedger{begins: c.begins, asked: make(chan proto.OnceStep, 2)}
			s, _ := newOnceDispatcher(t, l)
			ctx, cut := context.WithCancelCause(t.Context())
			answered := make(chan string)
			go func() {
				a, err := s.Do(ctx, newOnceCall())
				if err != nil {
					answered <- err.Error()
					return
				}
				answered <- string(a.Body)
			}()
			<-l.asked
			cut(leave.ErrCut)
			began := time.Now()
			if got := <-answered; got != c.want || time.Since(began) > time.Second {
				t.Errorf("%q %v after the cut, want %q", got, time.Since(began), c.want)
			}
			s.EndRecording(ctx)
		})
	}
}
