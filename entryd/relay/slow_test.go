package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenahaven.example/core/conn/mute"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/version/state"
)

const (
	callerSilence = 2500 * time.Millisecond
	streamEvents  = 60
	streamGap     = 60 * time.Millisecond
)

// newStreamingCall returns a call whose engine sends events of a size, and the
// address that it is asked at. ended is closed when the call has ended.
func newStreamingCall(t *testing.T, kind string, timeout time.Duration, eventBytes int) (address string, ended chan struct{}) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", "1")
		w.Header().Set("Server-Signature", "s")
		w.Header().Set("Content-Type", stream.ContentType)
		for i := range streamEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, bytes.Repeat([]byte("x"), eventBytes))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(streamGap):
			}
		}
	}))
	t.Cleanup(backend.Close)
	f := newScriptedCall(t, &scriptedBackend{}, kind, "v1")
	f.route.Timeout, f.route.MaxAttempts = timeout, 1
	f.fleet.local.Update([]state.Engine{{Name: "a", URL: backend.URL, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"}}, nil)
	ended = make(chan struct{})
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		f.w, f.start = w, f.clock.Now()
		f.forward(r.Context())
	}))
	t.Cleanup(front.Close)
	return front.Listener.Addr().String(), ended
}

func dialSmall(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	tcp := c.(*net.TCPConn)
	_ = tcp.SetReadBuffer(32 << 10)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return tcp
}

// A caller's process or path may be silent for a while as its answer streams.
func TestStreamSurvivesSilentCaller(t *testing.T) { streamToSilentCaller(t, "stream") }

// The time in which a caller takes no events isn't silence of the engine.
func TestResumableStreamSurvivesSilentCaller(t *testing.T) { streamToSilentCaller(t, "resumable") }

func streamToSilentCaller(t *testing.T, kind string) {
	t.Helper()
	for _, link := range []bool{false, true} {
		for _, eventBytes := range []int{10, 200 << 10} {
			t.Run(fmt.Sprintf("link=%v/%d", link, eventBytes), func(t *testing.T) {
				t.Parallel()
				address, _ := newStreamingCall(t, kind, 20*time.Second, eventBytes)
				c := dialSmall(t, address)
				a, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = a.Body.Close() }()
				restore := func() error { return nil }
				if link {
					if restore, err = mute.Silence(c); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(callerSilence)
				if err := restore(); err != nil {
					t.Fatal(err)
				}
				b, err := io.ReadAll(a.Body)
				if n := bytes.Count(b, []byte("\n\n")); err != nil || n != streamEvents {
					t.Errorf("%d of %d events, error %v", n, streamEvents, err)
				}
			})
		}
	}
}

// A caller that reads nothing for good must not hold its call, and with it the
// routing table of its time, beyond the deadline.
func TestCallOfSilentCallerEndsAtDeadline(t *testing.T) {
	for _, link := range []bool{false, true} {
		t.Run(fmt.Sprintf("link=%v", link), func(t *testing.T) {
			t.Parallel()
			address, ended := newStreamingCall(t, "stream", 2*time.Second, 500<<10)
			c := dialSmall(t, address)
			if link {
				if _, err := mute.Silence(c); err != nil {
					t.Fatal(err)
				}
			}
			select {
			case <-ended:
			case <-time.After(6 * time.Second):
				t.Error("the call runs on 4 s after its deadline")
			}
		})
	}
}
