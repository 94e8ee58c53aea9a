package pool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/request/retry"
)

func request(ctx context.Context, t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// server counts its connections.
func server(t *testing.T, h http.Handler) (*httptest.Server, func() int) {
	var mutex sync.Mutex
	n := 0
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, c http.ConnState) {
		if c == http.StateNew {
			mutex.Lock()
			n++
			mutex.Unlock()
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s, func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return n
	}
}

func TestNextTryUsesANewConnection(t *testing.T) {
	s, connections := server(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	p, cleanup := pool.New()
	defer cleanup()
	ask := func() {
		a, err := p.Do(request(t.Context(), t, s.URL))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	ask()
	ask()
	if n := connections(); n != 1 {
		t.Fatalf("%d connections for two requests", n)
	}
	p.Discard(strings.TrimPrefix(s.URL, "http://"))
	ask()
	if n := connections(); n != 2 {
		t.Fatalf("%d connections after the pool was thrown away", n)
	}
}

func TestSilenceIsNoticed(t *testing.T) {
	stop := make(chan struct{})
	s, _ := server(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-stop
	}))
	defer close(stop)
	p, cleanup := pool.New()
	defer cleanup()
	ctx, _, done := pool.Watch(t.Context(), 0, 50*time.Millisecond)
	defer done()
	_, err := p.Do(request(ctx, t, s.URL))
	if !errors.Is(err, pool.ErrSilent) || pool.Reason(err) != retry.ReasonSilent {
		t.Fatalf("got %v", err)
	}
}

func TestFreshTellsWhatWasWritten(t *testing.T) {
	s, connections := server(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/drop" {
			panic(http.ErrAbortHandler)
		}
	}))
	gone := httptest.NewServer(nil)
	gone.Close()
	p, cleanup := pool.New()
	defer cleanup()
	for range 2 {
		a, written, err := p.Fresh(request(t.Context(), t, s.URL))
		if err != nil || !written {
			t.Fatalf("written %v, %v", written, err)
		}
		_ = a.Body.Close()
	}
	if n := connections(); n != 2 {
		t.Fatalf("%d connections for two calls", n)
	}
	if _, written, err := p.Fresh(request(t.Context(), t, s.URL+"/drop")); err == nil || !written {
		t.Fatalf("dropped: written %v, %v", written, err)
	}
	_, written, err := p.Fresh(request(t.Context(), t, gone.URL))
	if err == nil || written || pool.Reason(err) != retry.ReasonDial {
		t.Fatalf("nobody listens: written %v, %v", written, err)
	}
}

// The time allowed lies within the bounds and covers the pace seen.
func TestAllowedFollowsThePace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(50, 10_000).Draw(t, "bound")) * time.Millisecond
		now, last, pace := time.Unix(0, 0), time.Time{}, time.Duration(0)
		longest := time.Duration(0)
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 30).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			pace = pool.Pace(pace, last, now)
			if !last.IsZero() {
				longest = max(longest, now.Sub(last))
			}
			last = now
		}
		if pace > longest {
			t.Fatalf("pace %v with gaps up to %v", pace, longest)
		}
		got := pool.Allowed(pace, bound)
		if got > bound || got < min(bound, 20*pace) || got < bound/4 {
			t.Fatalf("allowed %v with pace %v and bound %v", got, pace, bound)
		}
	})
}
