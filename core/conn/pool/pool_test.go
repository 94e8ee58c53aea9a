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
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/request/retry"
)

func newRequest(ctx context.Context, t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// startServer returns a test server and a function that returns the number of
// connections it has accepted.
func startServer(t *testing.T, h http.Handler) (*httptest.Server, func() int) {
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

func TestNewConnectionAfterDiscard(t *testing.T) {
	s, connections := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderExchange, r.Header.Get(engine.HeaderExchange))
	}))
	p, cleanup := pool.New()
	defer cleanup()
	send := func() {
		a, err := p.Do(newRequest(t.Context(), t, s.URL))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	send() // on a connection of its own, since it isn't known yet that the server names exchanges
	send()
	send()
	if n := connections(); n != 2 {
		t.Fatalf("%d connections for three requests", n)
	}
	p.Discard(strings.TrimPrefix(s.URL, "http://"))
	send()
	if n := connections(); n != 3 {
		t.Fatalf("%d connections after Discard", n)
	}
}

func TestStalledRequestIsCancelled(t *testing.T) {
	stop := make(chan struct{})
	s, _ := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-stop
	}))
	defer close(stop)
	p, cleanup := pool.New()
	defer cleanup()
	ctx, _, done := pool.WithStallTimer(t.Context(), 0, 50*time.Millisecond, func(time.Duration) bool { return true })
	defer done()
	_, err := p.Do(newRequest(ctx, t, s.URL))
	if !errors.Is(err, pool.ErrStalled) || pool.RetryReason(err) != retry.ReasonStalled {
		t.Fatalf("got %v", err)
	}
}

// A server that goes on while the check runs, or after it forbade to cancel, must
// not lose its request.
func TestStalledRequestIsKeptUntilCheckAllows(t *testing.T) {
	began, verdicts := make(chan struct{}), make(chan bool)
	ctx, timer, done := pool.WithStallTimer(t.Context(), 0, 20*time.Millisecond, func(time.Duration) bool {
		began <- struct{}{}
		return <-verdicts
	})
	defer done()
	<-began
	verdicts <- false
	<-began // without an event, it is asked again
	timer.EventReceived(time.Now())
	verdicts <- true
	time.Sleep(10 * time.Millisecond)
	if err := ctx.Err(); err != nil {
		t.Fatalf("cancelled after an event: %v", err)
	}
	timer.AwaitEvent()
	<-began
	verdicts <- true
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, pool.ErrStalled) {
		t.Fatalf("cause %v", err)
	}
}

func TestUnpooledRequestReportsWritten(t *testing.T) {
	s, connections := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/drop" {
			panic(http.ErrAbortHandler)
		}
	}))
	closed := httptest.NewServer(nil)
	closed.Close()
	p, cleanup := pool.New()
	defer cleanup()
	for range 2 {
		a, written, err := p.DoUnpooled(newRequest(t.Context(), t, s.URL))
		if err != nil || !written {
			t.Fatalf("written %v, %v", written, err)
		}
		_ = a.Body.Close()
	}
	if n := connections(); n != 2 {
		t.Fatalf("%d connections for two calls", n)
	}
	if _, written, err := p.DoUnpooled(newRequest(t.Context(), t, s.URL+"/drop")); err == nil || !written {
		t.Fatalf("dropped: written %v, %v", written, err)
	}
	_, written, err := p.DoUnpooled(newRequest(t.Context(), t, closed.URL))
	if err == nil || written || pool.RetryReason(err) != retry.ReasonDial {
		t.Fatalf("closed port: written %v, %v", written, err)
	}
}

// The stall timeout stays within its limits and allows for the observed mean
// gap.
func TestStallTimeoutFollowsMeanGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxTimeout := time.Duration(rapid.IntRange(50, 10_000).Draw(t, "bound")) * time.Millisecond
		now, last, meanGap := time.Unix(0, 0), time.Time{}, time.Duration(0)
		maxGap := time.Duration(0)
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 30).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			meanGap = pool.UpdateMeanGap(meanGap, last, now)
			if !last.IsZero() {
				maxGap = max(maxGap, now.Sub(last))
			}
			last = now
		}
		if meanGap > maxGap {
			t.Fatalf("mean gap %v with gaps up to %v", meanGap, maxGap)
		}
		got := pool.StallTimeout(meanGap, maxTimeout)
		if got > maxTimeout || got < min(maxTimeout, 20*meanGap) || got < maxTimeout/4 {
			t.Fatalf("stall timeout %v with mean gap %v and maximum %v", got, meanGap, maxTimeout)
		}
	})
}

// What was asked before a wait for a connection may no longer hold after it.
func TestRequestThatCheckForbidsIsNotSent(t *testing.T) {
	var received atomic.Int32
	s, _ := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set(engine.HeaderExchange, r.Header.Get(engine.HeaderExchange))
	}))
	p, cleanup := pool.New()
	defer cleanup()
	errForbidden := errors.New("forbidden")
	sent := int32(0)
	for i, name := range []string{"new connection", "kept connection", "connection after one that wasn't used"} {
		asked := 0
		ctx := pool.WithSendCheck(t.Context(), func() error {
			asked++
			return errForbidden
		})
		if _, err := p.Do(newRequest(ctx, t, s.URL)); !errors.Is(err, errForbidden) || asked != 1 || received.Load() != sent { //nolint:bodyclose // there is no answer
			t.Errorf("%s: %v, asked %d times, %d requests arrived, want %d", name, err, asked, received.Load(), sent)
		}
		for range 2 - i { // the first one shows that the server names exchanges
			a, err := p.Do(newRequest(pool.WithSendCheck(t.Context(), func() error { return nil }), t, s.URL))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			sent++
		}
	}
}

// A request that wasn't sent cost its server all kept connections, one after the other.
func TestForbiddenRequestKeepsOtherConnections(t *testing.T) {
	const kept = 8
	all := make(chan struct{}, kept)
	s, connections := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderExchange, r.Header.Get(engine.HeaderExchange))
		if r.URL.Path == "/together" {
			for all <- struct{}{}; len(all) < kept; {
				time.Sleep(time.Millisecond)
			}
		}
	}))
	p, cleanup := pool.New()
	defer cleanup()
	send := func(path string) {
		a, err := p.Do(newRequest(t.Context(), t, s.URL+path))
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	sendTogether := func() int {
		var group sync.WaitGroup
		before := connections()
		for range kept {
			group.Go(func() { send("/together") })
		}
		group.Wait()
		for range kept {
			<-all
		}
		return connections() - before
	}
	send("/") // shows that the server names exchanges
	sendTogether()
	errForbidden := errors.New("forbidden")
	if _, err := p.Do(newRequest(pool.WithSendCheck(t.Context(), func() error { return errForbidden }), t, s.URL)); !errors.Is(err, errForbidden) { //nolint:bodyclose // there is no answer
		t.Fatal(err)
	}
	if n := sendTogether(); n != 1 {
		t.Errorf("%d new connections for %d requests, want one", n, kept)
	}
}

// A head without end was kept up to 10 MiB for each request, and quoted in errors.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{"fields": "a:\r\n", "informational heads": "HTTP/1.1 103 X\r\n\r\n", "no field": "a"} {
		for _, pooled := range []bool{false, true} {
			s, _ := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(engine.HeaderExchange, r.Header.Get(engine.HeaderExchange))
				if r.Method == http.MethodGet {
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "HTTP/1.1 100 X\r\n\r\n")
				if !strings.HasPrefix(text, "HTTP") {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				}
				_, _ = io.WriteString(c, strings.Repeat(text, 2*pool.MaxHeadBytes/len(text)))
				_, _ = io.Copy(io.Discard, c) // until the client closes
			}))
			p, cleanup := pool.New()
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if pooled {
				r := newRequest(ctx, t, s.URL)
				r.Method = http.MethodGet
				a, err := p.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				_ = a.Body.Close()
			}
			a, err := p.Do(newRequest(ctx, t, s.URL))
			if err == nil {
				_ = a.Body.Close()
			}
			if err == nil || ctx.Err() != nil || len(err.Error()) > 1<<10 {
				t.Errorf("%s, pooled %v: error %.200v", name, pooled, err)
			}
		}
	}
}
