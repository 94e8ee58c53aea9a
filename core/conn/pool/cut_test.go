package pool_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
)

// cuttingServer answers the request "/N?ending" with the first N bytes of its answer, and then
// closes the connection, or resets it for the ending "reset". It answers "/whole" whole.
type cuttingServer struct {
	answer, body string
	url          string
	conns        atomic.Int64
	requests     atomic.Int64
}

func (s *cuttingServer) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.url = "http://" + l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
}

func (s *cuttingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		name := q.Header.Get(engine.HeaderExchange)
		if q.URL.Path == "/whole" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", engine.HeaderExchange, name)
			continue
		}
		s.requests.Add(1)
		n, _ := strconv.Atoi(q.URL.Path[1:])
		_, _ = io.WriteString(c, strings.ReplaceAll(s.answer, "#", name)[:n])
		if q.URL.RawQuery == "reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// outcome returns what the caller gets of an answer that is cut after n bytes.
func (s *cuttingServer) outcome(t *testing.T, method string, n int, ending string, kept bool) string {
	t.Helper()
	p, cleanup := pool.New()
	defer cleanup()
	do := func(target string) (*http.Response, error) {
		r, err := http.NewRequestWithContext(t.Context(), method, s.url+target, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		return p.Do(r)
	}
	for range map[bool]int{true: 2}[kept] { // the first one shows that the server names exchanges
		a, err := do("/whole")
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close()
	}
	s.conns.Store(0)
	s.requests.Store(0)
	a, err := do(fmt.Sprintf("/%d?%s", n, ending))
	sent := ""
	if requests, dialled := s.requests.Load(), s.conns.Load(); requests != 1 || kept == (dialled > 0) {
		sent = fmt.Sprintf(", sent %d times, dialled %d", requests, dialled)
	}
	if err != nil {
		return "no answer" + sent
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	switch {
	case err != nil:
		return "broken off" + sent
	case string(b) != s.body || a.StatusCode/100 != 2:
		return fmt.Sprintf("%d %q", a.StatusCode, b) + sent
	}
	return "whole" + sent
}

func (s *cuttingServer) outcomes(t *testing.T, method, ending string, kept bool) string {
	t.Helper()
	list, last := "", ""
	for n := range len(s.answer) + 1 {
		if got := s.outcome(t, method, n, ending, kept); got != last {
			list, last = list+fmt.Sprintf(" %d %s", n, got), got
		}
	}
	return list
}

// A server that stopped in the head of its answer gave an empty one that looked whole.
func TestAnswerCutAtAnyByteDoesNotLookWhole(t *testing.T) {
	datadriven.RunTest(t, "testdata/cut", func(t *testing.T, d *datadriven.TestData) string {
		s, out := &cuttingServer{}, ""
		d.ScanArgs(t, "body", &s.body)
		var err error
		if s.answer, err = strconv.Unquote(d.Input); err != nil {
			d.Fatalf(t, "answer: %v", err)
		}
		s.start(t)
		for _, ending := range []string{"close", "reset"} {
			out += ending + ":" + s.outcomes(t, http.MethodPost, ending, false) + "\n"
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				out += ending + ", kept, " + method + ":" + s.outcomes(t, method, ending, true) + "\n"
			}
		}
		return out
	})
}
