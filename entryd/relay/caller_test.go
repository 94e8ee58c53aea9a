package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenahaven.example/core/version/state"
)

// askHalfClosed sends a request, closes the sending side, and returns the status
// and the size of what arrives.
func askHalfClosed(t *testing.T, address string) (status, size int) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 1\r\n\r\nx")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = a.Body.Close() }()
	body, _ := io.ReadAll(a.Body)
	return a.StatusCode, len(body)
}

// net/http takes a caller that closed only its sending side for one that left.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	for _, kind := range []string{"safe", "idempotent", "stream", "resumable"} {
		backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) }))
		defer backend.Close()
		f := newScriptedCall(t, &scriptedBackend{}, kind, "v1")
		f.fleet.local.Update([]state.Engine{{Name: "a", URL: backend.URL, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"}}, nil)
		f.fleet.servers.Update([]state.Server{{Name: "a", URL: backend.URL, Service: "m", Phase: state.PhaseServing}})
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.w = w
			if refusal := f.readRequest(r, state.Limits{}); refusal != nil {
				f.refuse(*refusal)
				return
			}
			f.forward(r.Context())
		}))
		defer front.Close()
		if status, size := askHalfClosed(t, front.Listener.Addr().String()); status < http.StatusMultipleChoices && status != 0 || status != 0 && size == 0 {
			t.Errorf("%s: a caller that still reads gets status %d with %d bytes", kind, status, size)
		}
	}
}
