package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// net/http takes a caller that closed only its sending side for one that left.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	slow := newEngine(t, func(int, *engine.Event, http.ResponseWriter) bool { time.Sleep(20 * time.Millisecond); return true })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(server.Close)
	v := modelState(engineAt("e1", slow.URL, state.RoleMixed))
	for _, name := range []string{"plain", "once"} {
		v.Services = append(v.Services, state.Service{Name: name, Kind: state.KindPlain, AtMostOnce: name == "once"})
		v.Servers = append(v.Servers, state.Server{Name: "s-" + name, URL: server.URL, Centre: "north", Service: name, Phase: state.PhaseServing})
	}
	b := newTestEntry(t, v)
	for _, c := range []struct {
		name, path, body string
		want             int
	}{
		{"stream", "/v1/chat/completions", chatRequest, http.StatusServiceUnavailable},
		{"whole", "/v1/chat/completions", strings.Replace(chatRequest, `"stream":true`, `"stream":false`, 1), http.StatusServiceUnavailable},
		{"plain", "/s/plain/x", "{}", http.StatusServiceUnavailable},
		{"run once", "/s/once/x", "{}", http.StatusOK},
	} {
		conn, err := net.Dial("tcp", b.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", c.path, token, len(c.body), c.body)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		a, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", c.name, err)
			continue
		}
		body, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil || a.StatusCode != c.want || len(body) == 0 {
			t.Errorf("%s: status %d, %q, error %v; status %d wanted", c.name, a.StatusCode, body, err, c.want)
		}
	}
}
