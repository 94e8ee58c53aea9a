package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/version/state"
)

// Calls that were taken after the signal were cut without an answer at the end of the grace.
func TestLeavingInstanceTakesNoCallThatMayOutlastIt(t *testing.T) {
	e := newEngine(t)
	var calls atomic.Int32
	p := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer p.Close()
	v := modelState(engineAt("m", e.URL, state.RoleMixed))
	for _, name := range []string{"registry", "archive"} {
		v.Services = append(v.Services, state.Service{Name: name, Kind: state.KindPlain})
		v.Servers = append(v.Servers, state.Server{Name: name, URL: p.URL, Service: name, Phase: state.PhaseServing})
	}
	b := newTestEntry(t, v)
	b.send(t, http.MethodPost, "/s/registry/x", "x")
	b.balancer.RecordLoad("m", engine.LoadReport{MeasuredAt: time.Now(), Role: state.RoleMixed, TPOT: 10 * time.Millisecond})
	b.front.BeginShutdown(time.Now().Add(5 * time.Second))
	for _, c := range []struct {
		name, path, body, deadline string
		want                       int
	}{
		{"short answer", "/v1/chat/completions", chatRequest, "", http.StatusOK},
		{"long answer", "/v1/chat/completions", strings.Replace(chatRequest, ":20}", ":2000}", 1), "", http.StatusServiceUnavailable},
		{"no limit of the answer", "/v1/chat/completions", strings.Replace(chatRequest, `,"max_tokens":20`, "", 1), "", http.StatusServiceUnavailable},
		{"plain call with a distant deadline", "/s/registry/x", "x", "20000", http.StatusServiceUnavailable},
		{"plain call without one, others were fast", "/s/registry/x", "x", "", http.StatusOK},
		{"plain call without one, others aren't known", "/s/archive/x", "x", "", http.StatusServiceUnavailable},
		{"plain call with a deadline", "/s/registry/x", "x", "2000", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := len(e.received) + int(calls.Load())
			var headers []string
			if c.deadline != "" {
				headers = []string{"Deadline", c.deadline}
			}
			a := b.send(t, http.MethodPost, c.path, c.body, headers...)
			var refusal struct {
				Error struct{ Code, Ran string }
			}
			if a.StatusCode == http.StatusServiceUnavailable {
				if err := json.NewDecoder(a.Body).Decode(&refusal); err != nil {
					t.Fatal(err)
				}
			}
			if a.StatusCode != c.want {
				t.Fatalf("status %d, %+v, want %d", a.StatusCode, refusal, c.want)
			}
			if c.want == http.StatusOK {
				return
			}
			if refusal.Error.Code != "stopping" || refusal.Error.Ran != string(once.NotExecuted) || a.Header.Get("Retry-After-Ms") == "" {
				t.Errorf("refused as %+v, %v", refusal, a.Header)
			}
			if now := len(e.received) + int(calls.Load()); now != asked {
				t.Errorf("%d calls reached a server", now-asked)
			}
		})
	}
}

// Neither was among the times by which calls without a limit are judged.
func TestLeavingInstanceKnowsSlowCallsOfEachKind(t *testing.T) {
	var slow atomic.Bool
	p := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			select {
			case <-r.Context().Done():
			case <-time.After(700 * time.Millisecond):
			}
		}
	}))
	defer p.Close()
	for _, c := range []struct {
		name, deadline string
		atMostOnce     bool
	}{
		{name: "run-once call", atMostOnce: true},
		{name: "call that reached its deadline", deadline: "600"},
	} {
		t.Run(c.name, func(t *testing.T) {
			slow.Store(true)
			b := newTestEntry(t, state.View{
				Services: []state.Service{{Name: "permit", Kind: state.KindPlain, AtMostOnce: c.atMostOnce}},
				Servers:  []state.Server{{Name: "s", URL: p.URL, Centre: "north", Service: "permit", Phase: state.PhaseServing}},
			})
			headers := []string{"Idempotency-Key", "k1"}
			if c.deadline != "" {
				headers = append(headers, "Deadline", c.deadline)
			}
			b.send(t, http.MethodPost, "/s/permit/x", "{}", headers...)
			slow.Store(false)
			b.front.BeginShutdown(time.Now().Add(3 * time.Second)) // less than twice the slowest, and a pause
			if a := b.send(t, http.MethodPost, "/s/permit/x", "{}", "Idempotency-Key", "k2"); a.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("status %d", a.StatusCode)
			}
		})
	}
}

// A call that may have run was sent again, however long its answer gets.
func TestLeavingInstanceRepeatsNoCallThatMayOutlastIt(t *testing.T) {
	var b *testEntry
	e := newEngine(t, func(int, *engine.Event, http.ResponseWriter) bool {
		b.front.BeginShutdown(time.Now().Add(5 * time.Second))
		panic(http.ErrAbortHandler)
	})
	b = newTestEntry(t, modelState(engineAt("m", e.URL, state.RoleMixed)))
	b.balancer.RecordLoad("m", engine.LoadReport{MeasuredAt: time.Now(), Role: state.RoleMixed, TPOT: 10 * time.Millisecond})
	a := b.send(t, http.MethodPost, "/v1/chat/completions", strings.Replace(chatRequest, ":20}", ":2000}", 1))
	body, _ := io.ReadAll(a.Body)
	if n := len(e.received); n != 1 || !strings.Contains(string(body), `"code":"stopping"`) || !strings.Contains(string(body), `"ran":"ran"`) {
		t.Errorf("sent %d times; status %d: %.200s", n, a.StatusCode, body)
	}
}

// So was a plain call, which the others weren't.
func TestLeavingInstanceRepeatsNoPlainCallThatMayOutlastIt(t *testing.T) {
	var b *testEntry
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1) == 1 {
			b.front.BeginShutdown(time.Now().Add(5 * time.Second))
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	v := state.View{Services: []state.Service{{Name: "registry", Kind: state.KindPlain}}}
	for _, name := range []string{"s1", "s2"} {
		v.Servers = append(v.Servers, state.Server{Name: name, URL: server.URL, Service: "registry", Phase: state.PhaseServing})
	}
	b = newTestEntry(t, v)
	a := b.send(t, http.MethodPost, "/s/registry/x", "x", "Deadline", "20000")
	body, _ := io.ReadAll(a.Body)
	if n := calls.Load(); n != 1 || a.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), `"code":"stopping"`) || !strings.Contains(string(body), `"ran":"unknown"`) {
		t.Errorf("sent %d times; status %d: %.200s", n, a.StatusCode, body)
	}
}

// The last check came before the wait for a connection.
func TestCallThatWaitsForConnectionWhenShutdownBeginsIsNotSent(t *testing.T) {
	long := strings.Replace(chatRequest, ":20}", ":2000}", 1)
	split := strings.Replace(long, "Which", strings.Repeat("Which ", 1000), 1)
	for _, c := range []struct {
		name, path, body string
		dial             int32 // during which the shutdown begins
		sent             int
	}{
		{name: "answer", path: "/v1/chat/completions", body: long, dial: 1},
		{name: "prefill", path: "/v1/chat/completions", body: split, dial: 1},
		{name: "decode", path: "/v1/chat/completions", body: split, dial: 2, sent: 1},
		{name: "plain call", path: "/s/registry/x", body: "x", dial: 1},
		{name: "run-once call", path: "/s/permit/x", body: "x", dial: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, p := newEngine(t), newEngine(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
			defer server.Close()
			role := state.RoleMixed
			v := modelState(engineAt("m", e.URL, role))
			if c.body == split {
				role = state.RoleDecode
				v = modelState(engineAt("p", p.URL, state.RolePrefill), engineAt("m", e.URL, state.RoleDecode))
			}
			v.Services = append(v.Services, state.Service{Name: "registry", Kind: state.KindPlain}, state.Service{Name: "permit", Kind: state.KindPlain, AtMostOnce: true})
			for _, name := range []string{"registry", "permit"} {
				v.Servers = append(v.Servers, state.Server{Name: name, URL: server.URL, Service: name, Phase: state.PhaseServing})
			}
			b := newTestEntry(t, v)
			b.balancer.RecordLoad("m", engine.LoadReport{MeasuredAt: time.Now(), Role: role, TPOT: 10 * time.Millisecond})
			var dials atomic.Int32
			trace := &httptrace.ClientTrace{ConnectStart: func(string, string) {
				if dials.Add(1) == c.dial {
					b.front.BeginShutdown(time.Now().Add(time.Second))
				}
			}}
			h := b.Config.Handler
			b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h.ServeHTTP(w, r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
			})
			a := b.send(t, http.MethodPost, c.path, c.body, "Idempotency-Key", "k")
			body, _ := io.ReadAll(a.Body)
			if a.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), `"code":"stopping"`) {
				t.Errorf("status %d: %.200s", a.StatusCode, body)
			}
			if n := len(e.received) + len(p.received) + int(calls.Load()); n != c.sent || len(b.keeper.calls) > 0 || b.meter.Value("leaving", "refused") != 1 {
				t.Errorf("%d requests, %d run-once calls, %d refusals", n, len(b.keeper.calls), b.meter.Value("leaving", "refused"))
			}
		})
	}
}

// cutter returns a function that cuts the calls that run then.
func (b *testEntry) cutter(t *testing.T) (cut func()) {
	t.Helper()
	calls, cancelCalls := context.WithCancelCause(t.Context())
	h := b.Config.Handler
	b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		if calls.Err() == nil {
			defer context.AfterFunc(calls, func() { cancel(context.Cause(calls)) })()
		}
		h.ServeHTTP(w, r.WithContext(ctx))
	})
	return func() { cancelCalls(leave.ErrCut) }
}

// The caller of such a body got no answer: its connection ended with the process.
func TestBodyThatArrivesPastCutIsRefused(t *testing.T) {
	b := newTestEntry(t, state.View{Services: []state.Service{{Name: "permit", Kind: state.KindPlain}}})
	cut := b.cutter(t)
	r, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go func() {
		_, _ = io.WriteString(w, "{")
		for b.meter.Value("request", "plain") == 0 {
			time.Sleep(time.Millisecond)
		}
		cut()
	}()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.URL+"/s/permit/x", r)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if body, _ := io.ReadAll(a.Body); a.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), `"code":"stopping"`) || !strings.Contains(string(body), `"ran":"not_run"`) {
		t.Errorf("status %d: %s", a.StatusCode, body)
	}
}

// Calls that wait at the cut for another one under their key, or for their server, got no
// answer: their connection ended with the process.
func TestRunOnceCallThatWaitsIsAnsweredAtCut(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "stamped")
	}))
	defer server.Close()
	b := newTestEntry(t, state.View{
		Services: []state.Service{{Name: "permit", Kind: state.KindPlain, AtMostOnce: true}},
		Servers:  []state.Server{{Name: "s", URL: server.URL, Service: "permit", Phase: state.PhaseServing}},
	})
	cut := b.cutter(t)
	answers := make(chan string, 2)
	send := func() {
		a := b.send(t, http.MethodPost, "/s/permit/x", "{}", "Idempotency-Key", "k")
		body, _ := io.ReadAll(a.Body)
		answers <- fmt.Sprint(a.StatusCode, " ", string(body), a.Header.Get("Retry-After-Ms"))
	}
	for n := range 2 {
		go send()
		for b.meter.Value("once", "begin", string([]proto.Verdict{proto.VerdictProceed, proto.VerdictBusy}[n])) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	cut()
	for _, call := range []string{"the call that waits", "the call that was sent"} {
		select {
		case a := <-answers:
			if !strings.HasPrefix(a, "503") || !strings.Contains(a, `"code":"stopping"`) || !strings.Contains(a, `"ran":"unknown"`) || !strings.HasSuffix(a, "500") {
				t.Errorf("%s gets %s", call, a)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s has no answer 5 s after the cut", call)
		}
	}
	close(release)
	for b.meter.Value("once", "finish", string(proto.VerdictRecorded)) == 0 {
		time.Sleep(time.Millisecond)
	}
	send()
	if a := <-answers; a != "200 stamped" {
		t.Errorf("its outcome under the key is %s", a)
	}
}
