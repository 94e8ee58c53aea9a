package poll

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/picker"
)

// A failure in JSON was taken for the report of an idle engine, as was what an engine had sent
// before it broke off.
func TestOnlyWholeReportsAreTaken(t *testing.T) {
	const report = `{"engine":"e","running":12}`
	var answer atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer.Load().(string))
		_ = c.Close()
	}))
	defer s.Close()
	connections, cleanup := pool.New()
	defer cleanup()
	p := New(Settings{Timeout: 10 * time.Second}, picker.New("entry1", "north", route.PolicyLoad), connections, meter.New(), clock.System())
	isTaken := func(text string) bool {
		answer.Store(text)
		return p.fetchLoad(t.Context(), state.Engine{Name: "e", URL: s.URL}) == nil
	}
	whole := "HTTP/1.1 200 OK\r\n\r\n" + report
	for n := range len(whole) + 1 {
		if taken := isTaken(whole[:n]); taken != (n == len(whole)) {
			t.Errorf("cut after %d of %d bytes: taken %v", n, len(whole), taken)
		}
	}
	for _, text := range []string{
		"HTTP/1.1 500 X\r\nContent-Length: 11\r\n\r\n{\"error\":1}",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + report,
		"HTTP/1.1 200 OK\r\n\r\n" + report + report,
	} {
		if isTaken(text) {
			t.Errorf("taken: %q", text)
		}
	}
}
