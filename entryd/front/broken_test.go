package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// newRawServer starts a server whose answers write writes. Each ends with its connection.
func newRawServer(t *testing.T, write func(io.Writer)) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		write(c)
	}))
	t.Cleanup(s.Close)
	return s
}

func TestEventStreamOfServiceCutInsideEventIsNotDelivered(t *testing.T) {
	var ran atomic.Int32
	s := newRawServer(t, func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\nda")
		if ran.Add(1)%2 == 0 {
			_, _ = io.WriteString(w, "ta: b\n\n")
		}
	})
	for _, once := range []bool{false, true} {
		b := newTestEntry(t, state.View{
			Services: []state.Service{{Name: "feed", Kind: state.KindPlain, AtMostOnce: once}},
			Servers: []state.Server{
				{Name: "s1", URL: s.URL, Centre: "north", Service: "feed", Phase: state.PhaseServing},
				{Name: "s2", URL: s.URL, Centre: "north", Service: "feed", Phase: state.PhaseServing},
			},
		})
		want := "data: a\n\ndata: b\n\n" // of the second attempt
		if once {
			want = `"ran":"unknown"`
		}
		a := b.send(t, http.MethodPost, "/s/feed/x", "{}", "Idempotency-Key", "k1")
		if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), want) {
			t.Errorf("run once %v: status %d, %q, want %q", once, a.StatusCode, body, want)
		}
	}
}

// A crash of the server on a kept connection looked like an idle connection that it had closed,
// so that the call was sent again, to nobody.
func TestGetThatCrashesItsServerIsNotReportedAsNotRun(t *testing.T) {
	s := httptest.NewUnstartedServer(nil)
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/crash" {
			_ = s.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engine.HeaderExchange, r.Header.Get(engine.HeaderExchange))
	})
	s.Start()
	t.Cleanup(s.Close)
	b := newTestEntry(t, state.View{
		Services: []state.Service{{Name: "feed", Kind: state.KindPlain}},
		Servers:  []state.Server{{Name: "s1", URL: s.URL, Centre: "north", Service: "feed", Phase: state.PhaseServing}},
	})
	for range 3 {
		if a := b.send(t, http.MethodGet, "/s/feed/x", ""); a.StatusCode != http.StatusOK {
			t.Fatalf("status %d", a.StatusCode)
		}
	}
	a := b.send(t, http.MethodGet, "/s/feed/crash", "")
	if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), `"ran":"unknown"`) {
		t.Errorf("status %d: %s", a.StatusCode, body)
	}
}

// Callers got a 101 as the answer, or none for a status that HTTP doesn't have.
func TestResponseThatIsNotFinalIsNoAnswer(t *testing.T) {
	var status atomic.Value
	s := newRawServer(t, func(w io.Writer) { fmt.Fprintf(w, "HTTP/1.1 %s X\r\n\r\n", status.Load()) })
	for _, code := range []string{"101", "099", "000"} {
		for _, once := range []bool{false, true} {
			status.Store(code)
			b := newTestEntry(t, state.View{
				Services: []state.Service{{Name: "feed", Kind: state.KindPlain, AtMostOnce: once}},
				Servers:  []state.Server{{Name: "s1", URL: s.URL, Centre: "north", Service: "feed", Phase: state.PhaseServing}},
			})
			a := b.send(t, http.MethodPost, "/s/feed/x", "{}", "Idempotency-Key", "k1")
			if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), `"ran":"unknown"`) {
				t.Errorf("%s, run once %v: status %d, %q", code, once, a.StatusCode, body)
			}
		}
	}
}

func TestBrokenCallWithoutAnotherServerIsNotReportedAsNotRun(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	b := newTestEntry(t, state.View{
		Services: []state.Service{{Name: "feed", Kind: state.KindPlain}},
		Servers:  []state.Server{{Name: "s1", URL: s.URL, Centre: "north", Service: "feed", Phase: state.PhaseServing}},
	})
	a := b.send(t, http.MethodPost, "/s/feed/x", "{}")
	if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), `"ran":"unknown"`) {
		t.Fatalf("status %d: %s", a.StatusCode, body)
	}
}
