package guard_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/pool"
)

type response struct{ OK bool }

// startEngine starts an engine that executes every order it receives, and
// returns its URL and the number of orders received.
func startEngine(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	var received atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		_ = json.NewEncoder(w).Encode(response{true})
	}))
	t.Cleanup(s.Close)
	return s.URL, &received
}

func TestPostUnderLease(t *testing.T) {
	url, received := startEngine(t)
	w := guard.New(func() time.Duration { return time.Second }, 100*time.Millisecond, time.Second)
	var resp response
	wrote, err := w.PostJSON(t.Context(), url, struct{}{}, &resp)
	if err != nil || !wrote || !resp.OK || received.Load() != 1 {
		t.Fatalf("wrote %v, response %v, %d received: %v", wrote, resp, received.Load(), err)
	}
}

// The lease ends after the connection is open: the check immediately before the
// write must stop the order.
func TestNoWriteAfterLeaseEnd(t *testing.T) {
	url, received := startEngine(t)
	for valid := range int32(3) {
		var checks atomic.Int32
		lease := func() time.Duration {
			if checks.Add(1) > valid {
				return 100 * time.Millisecond
			}
			return time.Second
		}
		w := guard.New(lease, 100*time.Millisecond, time.Second)
		wrote, err := w.PostJSON(t.Context(), url, struct{}{}, &response{})
		if !errors.Is(err, guard.ErrLeaseTooShort) || wrote || received.Load() != 0 {
			t.Fatalf("lease ended after %d checks: wrote %v, %d received: %v", valid, wrote, received.Load(), err)
		}
	}
}

// A request to an engine that doesn't respond ends with the lease.
func TestConnClosedAtLeaseEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	w := guard.New(func() time.Duration { return 300 * time.Millisecond }, 100*time.Millisecond, time.Minute)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if wrote, err := w.PostJSON(ctx, "http://"+l.Addr().String(), struct{}{}, &response{}); err == nil || !wrote {
		t.Fatalf("wrote %v: %v", wrote, err)
	}
	if ctx.Err() != nil {
		t.Fatal("request outlived the lease")
	}
}

// An engine's answer to an order may have a head without end.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", pool.MaxHeadBytes))
		_, _ = io.Copy(io.Discard, c) // until the client closes
	}))
	defer s.Close()
	w := guard.New(func() time.Duration { return time.Minute }, 100*time.Millisecond, 5*time.Second)
	began := time.Now()
	if _, err := w.PostJSON(t.Context(), s.URL, struct{}{}, new(response)); err == nil || time.Since(began) > 4*time.Second {
		t.Errorf("error %v after %s", err, time.Since(began))
	}
}
