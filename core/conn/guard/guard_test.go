package guard_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/guard"
)

type answer struct{ OK bool }

// receiver is an engine that obeys whatever reaches it.
func receiver(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		_ = json.NewEncoder(w).Encode(answer{true})
	}))
	t.Cleanup(s.Close)
	return s.URL, &got
}

func TestPostUnderLease(t *testing.T) {
	url, got := receiver(t)
	w := guard.New(func() time.Duration { return time.Second }, 100*time.Millisecond, time.Second)
	var a answer
	wrote, err := w.Post(t.Context(), url, struct{}{}, &a)
	if err != nil || !wrote || !a.OK || got.Load() != 1 {
		t.Fatalf("wrote %v answer %v, %d received: %v", wrote, a, got.Load(), err)
	}
}

// The lease ends after the connection was made: the check immediately before
// the write must hold the order back.
func TestNoWriteAfterLease(t *testing.T) {
	url, got := receiver(t)
	for calls := range int32(3) {
		var asked atomic.Int32
		lease := func() time.Duration {
			if asked.Add(1) > calls {
				return 100 * time.Millisecond
			}
			return time.Second
		}
		w := guard.New(lease, 100*time.Millisecond, time.Second)
		wrote, err := w.Post(t.Context(), url, struct{}{}, &answer{})
		if !errors.Is(err, guard.ErrLease) || wrote || got.Load() != 0 {
			t.Fatalf("lease over after %d checks: wrote %v, %d received: %v", calls, wrote, got.Load(), err)
		}
	}
}

// A receiver that doesn't answer is left when the lease ends.
func TestCloseAtEndOfLease(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	w := guard.New(func() time.Duration { return 300 * time.Millisecond }, 100*time.Millisecond, time.Minute)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if wrote, err := w.Post(ctx, "http://"+l.Addr().String(), struct{}{}, &answer{}); err == nil || !wrote {
		t.Fatalf("wrote %v: %v", wrote, err)
	}
	if ctx.Err() != nil {
		t.Fatal("waited beyond the lease")
	}
}
