package proof_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

const (
	// brokenMark is in the body of each broken answer.
	brokenMark = "zebra"
	// longUpload is more than what fits the buffers of a connection, in bytes, and less than
	// body.bytes.
	longUpload = 7 << 20
)

// brokenServer is a server in trouble. It reports load and state as a sound engine.
type brokenServer struct {
	name   string
	answer string // EVENTS in it replaced by the events of a whole completion
	early  bool   // sent before the request is read, and followed by a reset
	sent   atomic.Int32
}

func (b *brokenServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case engine.PathLoad:
		_, _ = io.WriteString(w, `{"engine":"broken","role":"mixed"}`)
		return
	case engine.PathState, engine.PathCache, engine.PathCancel:
		_, _ = io.WriteString(w, "{}")
		return
	}
	var q engine.Request
	if !b.early {
		_ = json.NewDecoder(r.Body).Decode(&q)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	b.sent.Add(1)
	events := fmt.Sprintf(`data: {"attempt":%q,"token":0,"choices":[{"delta":{"content":%q},"finish_reason":"stop"}]}`, q.Attempt, brokenMark) +
		"\n\ndata: " + engine.EndOfStream + "\n\n"
	_, _ = io.WriteString(c, strings.ReplaceAll(b.answer, "EVENTS", events))
	if b.early {
		time.Sleep(5 * time.Millisecond) // until the head has arrived
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// testBrokenServers checks that callers get none of the answers.
func testBrokenServers(t *testing.T, servers []*brokenServer) {
	s := startDeployment(t, fleet.Options{Entries: 1, Engines: fastEngines(state.RoleMixed)})
	for n, b := range servers {
		name := fmt.Sprintf("broken%d", n)
		h := httptest.NewServer(b)
		defer h.Close()
		s.runCommand(t, fmt.Sprintf("declare model %s revision 1", name))
		s.runCommand(t, fmt.Sprintf("declare engine %s url %q centre north role mixed model %s revision 1 fenced false", name, h.URL, name))
		s.runCommand(t, fmt.Sprintf("declare service model%d kind model model %s revision 1 class first deadline 300s first 200s", n, name))
		for kind, once := range map[string]string{"safe": "", "once": " once true"} {
			s.runCommand(t, fmt.Sprintf("declare service %s%d kind plain class first deadline 3s%s", kind, n, once))
			s.runCommand(t, fmt.Sprintf("declare server %s%d url %q centre north service %s%d", kind, n, h.URL, kind, n))
		}
	}
	time.Sleep(time.Second) // until the instance has reports of the engines
	for n, b := range servers {
		for _, kind := range []string{"safe", "once", "model"} {
			t.Run(kind+"/"+b.name, func(t *testing.T) {
				b.sent.Store(0)
				reached, last := 0, ""
				for i := range 8 {
					status, body, err := s.callBrokenServer(t, kind, n, i, b.early)
					if err == nil && (status < http.StatusInternalServerError || !strings.HasPrefix(body, `{"error":{"code":`)) {
						reached++
						last = fmt.Sprintf("status %d, %q", status, body)
					}
				}
				if reached > 0 || b.sent.Load() == 0 {
					t.Errorf("server sent %d, %d of 8 callers got one: %s", b.sent.Load(), reached, last)
				}
			})
		}
	}
}

func (s *deployment) callBrokenServer(t *testing.T, kind string, n, i int, long bool) (status int, body string, err error) {
	t.Helper()
	text := fmt.Sprint(i)
	if long {
		text += strings.Repeat("x", longUpload)
	}
	url := fmt.Sprintf("%s/s/%s%d/x", s.Entries()[0].URL(), kind, n)
	if kind == "model" {
		url = s.Entries()[0].URL() + "/v1/chat/completions"
		text = fmt.Sprintf(`{"model":"model%d","stream":%t,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, n, i%2 == 0, text)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+s.CallerToken())
	r.Header.Set("Idempotency-Key", fmt.Sprintf("%s%d-%d", kind, n, i))
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

const (
	eventStream = "Content-Type: text/event-stream\r\n\r\nEVENTS"
	soundLength = "Content-Length: 5\r\n\r\n" + brokenMark
)

// Callers got part of an answer as whole if its connection was reset while the request was
// still being written.
func TestAnswersResetDuringUploadDoNotLookWhole(t *testing.T) {
	testBrokenServers(t, []*brokenServer{
		{name: "text", early: true, answer: "HTTP/1.1 200 OK\r\n\r\n" + brokenMark},
		{name: "events", early: true, answer: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + brokenMark + "\n\n"},
		{name: "failure", early: true, answer: "HTTP/1.1 500 X\r\n\r\n" + brokenMark},
	})
}

// Callers got answers whose status HTTP doesn't have, or what followed such a head.
func TestAnswersWithoutValidStatusReachNoCaller(t *testing.T) {
	testBrokenServers(t, []*brokenServer{
		{name: "000", answer: "HTTP/1.1 000 X\r\n" + soundLength},
		{name: "000 before an answer", answer: "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + eventStream},
		{name: "600", answer: "HTTP/1.1 600 X\r\n" + soundLength},
		{name: "600 with events", answer: "HTTP/1.1 600 X\r\n" + eventStream},
	})
}

// Callers got answers with names of fields that HTTP doesn't allow, and bodies whose length
// such a name hid.
func TestAnswersWithMalformedNamesReachNoCaller(t *testing.T) {
	testBrokenServers(t, []*brokenServer{
		{name: "blank before the colon of the length", answer: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + eventStream},
		{name: "blank before the colon of the coding", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + eventStream},
		{name: "blank inside", answer: "HTTP/1.1 200 OK\r\nX Odd: 2\r\n" + eventStream},
		{name: "blank at the start", answer: "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n" + eventStream},
		{name: "control byte", answer: "HTTP/1.1 200 OK\r\nX\x01Odd: 2\r\n" + eventStream},
		{name: "blank in an interim head", answer: "HTTP/1.1 103 X\r\nX Odd: 2\r\n\r\nHTTP/1.1 200 OK\r\n" + eventStream},
	})
}
