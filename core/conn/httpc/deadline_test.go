package httpc_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/httpc"
)

// unansweredAddress returns an address at which connection attempts get no answer.
func unansweredAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
	for { // fills the queue of connections that wait to be accepted
		c, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// An attempt that ends with its call's deadline says nothing about the server.
func TestDialCutByDeadlineIsNoFailureOfTheServer(t *testing.T) {
	address := unansweredAddress(t)
	o := &observed{}
	p := newPool(t)
	p.SetObserver(o)
	var group sync.WaitGroup
	for n := range 400 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond+time.Duration(n)*100*time.Microsecond)
			defer cancel()
			if _, err := p.Do(ctx, address, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"}); err == nil || ctx.Err() == nil { //nolint:bodyclose // there is none
				t.Errorf("the dial ends before its context: %v", err)
			}
		})
	}
	group.Wait()
	if list := o.seen(); slices.Contains(list, "dialled false") {
		t.Error("counted as failed dials")
	}
}

// What a server says as it turns a request away at the deadline was never heard.
func TestHeadAfterDeadlineIsHeard(t *testing.T) {
	const deadline = 50 * time.Millisecond
	for _, c := range []struct {
		delay time.Duration // of the answer, after the deadline
		heard bool
	}{{5 * time.Millisecond, true}, {time.Second, false}} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(deadline + c.delay):
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(s.Close)
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		start, heard := time.Now(), 0
		r := &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h", OnHead: func(a *http.Response) { heard = a.StatusCode }}
		_, err := newPool(t).Do(ctx, s.Listener.Addr().String(), r) //nolint:bodyclose // there is none
		took := time.Since(start)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) || !httpc.MaybeSent(err) || (heard != 0) != c.heard || took > 500*time.Millisecond {
			t.Errorf("an answer %v after the deadline: heard %d, %v after %v", c.delay, heard, err, took)
		}
	}
}
