package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// sendSlowly sends a body in parts with pauses between them, and returns the
// status of the answer.
func sendSlowly(t *testing.T, address string, parts int, pause time.Duration) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n", 4*parts)
	for range parts {
		time.Sleep(pause)
		if _, err := io.WriteString(c, "part"); err != nil {
			break
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// The limit is on the time without a byte, under the table with which the request
// began, and the call's own time bounds all of the body.
func TestBodyIsReadWhileItProgresses(t *testing.T) {
	for _, c := range []struct {
		name     string
		parts    int
		pause    time.Duration
		timeLeft time.Duration
		want     int
	}{
		{"pauses below the limit", 6, 100 * time.Millisecond, 0, http.StatusNoContent},
		{"a pause above the limit", 2, 500 * time.Millisecond, 0, http.StatusBadRequest},
		{"no time left", 6, 100 * time.Millisecond, 250 * time.Millisecond, http.StatusBadRequest},
	} {
		f := newScriptedCall(t, &scriptedBackend{}, "safe", "v1")
		f.call.TimeLeft = c.timeLeft
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.w, f.start = w, f.clock.Now()
			if refusal := f.readRequest(r, state.Limits{IdleTimeout: 300 * time.Millisecond}); refusal != nil {
				f.refuse(*refusal)
				return
			}
			if want := strings.Repeat("part", c.parts); string(f.call.Body) != want {
				t.Errorf("%s: body %q", c.name, f.call.Body)
			}
			w.WriteHeader(http.StatusNoContent)
		}))
		defer front.Close()
		if got := sendSlowly(t, front.Listener.Addr().String(), c.parts, c.pause); got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
	}
}

// The limits of a table hold for the requests that began under it.
func TestBodyIsReadUnderTheTableOfItsStart(t *testing.T) {
	f, store := newScriptedCall(t, &scriptedBackend{}, "safe", "v1"), view.New()
	publish := func(number uint64, idle time.Duration) {
		t.Helper()
		if err := store.Apply(state.View{Version: number, Since: number - 1, Routing: &state.RoutingTable{Number: number, Limits: state.Limits{IdleTimeout: idle}}}); err != nil {
			t.Fatal(err)
		}
		f.fleet.SetSnapshot(store.Current())
	}
	publish(1, 300*time.Millisecond)
	front := httptest.NewServer(f.Proxy)
	defer front.Close()
	time.AfterFunc(150*time.Millisecond, func() { publish(2, 20*time.Millisecond) })
	if got := sendSlowly(t, front.Listener.Addr().String(), 6, 100*time.Millisecond); got != http.StatusNotFound {
		t.Errorf("a body across two tables: status %d, want 404 for want of a route", got)
	}
	if got := sendSlowly(t, front.Listener.Addr().String(), 6, 100*time.Millisecond); got != http.StatusBadRequest {
		t.Errorf("a body under the second table: status %d, want 400", got)
	}
}

// The caller of such a body got no answer: its connection ended with the process.
func TestBodyThatArrivesPastCutIsRefused(t *testing.T) {
	f := newScriptedCall(t, &scriptedBackend{}, "safe", "v1")
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cut := context.WithCancelCause(r.Context())
		defer cut(nil)
		defer time.AfterFunc(100*time.Millisecond, func() { cut(leave.ErrCut) }).Stop()
		f.w, f.start = w, f.clock.Now()
		w.Header().Set("Connection", "close")
		if refusal := f.readRequest(r.WithContext(ctx), state.Limits{}); refusal != nil {
			f.refuse(*refusal)
		}
	}))
	defer front.Close()
	if got := sendSlowly(t, front.Listener.Addr().String(), 2, 400*time.Millisecond); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
}
