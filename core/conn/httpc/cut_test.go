package httpc_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/httpc"
)

// cutServer answers the request "/N?ending" with the first N bytes of its answer, and then
// closes the connection, or resets it for the ending "reset". It answers "/whole" whole.
type cutServer struct {
	answer, body string
	address      string
	conns        *atomic.Int64
	requests     atomic.Int64
}

func (s *cutServer) handle(c net.Conn, r *bufio.Reader) bool {
	q, ok := readRequest(r)
	if !ok {
		return false
	}
	if q.URL.Path == "/whole" {
		reply(c, "0", "whole")
		return true
	}
	s.requests.Add(1)
	n, _ := strconv.Atoi(q.URL.Path[1:])
	_, _ = io.WriteString(c, s.answer[:n])
	if q.URL.RawQuery == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// outcome returns what the caller gets of an answer that is cut after n bytes.
func (s *cutServer) outcome(t *testing.T, n int, ending string, kept bool) string {
	t.Helper()
	p, conns, requests := newPool(t), s.conns.Load(), s.requests.Load()
	get := func(target, id string) (*http.Response, error) {
		return p.Do(t.Context(), s.address, &httpc.Request{Method: http.MethodGet, Target: target, Host: "h", Matches: ownedBy(id)})
	}
	if kept {
		a, err := get("/whole", "0")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	a, err := get(fmt.Sprintf("/%d?%s", n, ending), "1")
	conns, requests = s.conns.Load()-conns, s.requests.Load()-requests
	if conns != 1 || requests != 1 {
		t.Errorf("cut after %d bytes: sent %d times on %d connections", n, requests, conns)
	}
	if err != nil {
		if !httpc.MaybeSent(err) {
			t.Errorf("cut after %d bytes: reported as not sent: %v", n, err)
		}
		return "no answer"
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	switch {
	case err != nil:
		return "broken off"
	case string(b) != s.body:
		return "short"
	}
	return "whole"
}

// outcomes returns from how many bytes on the caller gets what.
func (s *cutServer) outcomes(t *testing.T, ending string, kept bool) string {
	t.Helper()
	list, last := "", ""
	for n := range len(s.answer) + 1 {
		if got := s.outcome(t, n, ending, kept); got != last {
			list, last = list+fmt.Sprintf(" %d %s", n, got), got
		}
	}
	return list
}

// A server that stopped in the head of its answer gave an empty one that looked whole.
func TestAnswerCutAtAnyByteDoesNotLookWhole(t *testing.T) {
	datadriven.RunTest(t, "testdata/cut", func(t *testing.T, d *datadriven.TestData) string {
		s, out := &cutServer{}, ""
		d.ScanArgs(t, "body", &s.body)
		var err error
		if s.answer, err = strconv.Unquote(d.Input); err != nil {
			d.Fatalf(t, "answer: %v", err)
		}
		s.address, s.conns = startServer(t, s.handle)
		for _, ending := range []string{"close", "reset"} {
			fresh, kept := s.outcomes(t, ending, false), s.outcomes(t, ending, true)
			if fresh != kept {
				d.Fatalf(t, "%s on a new connection:%s, on a kept one:%s", ending, fresh, kept)
			}
			out += ending + ":" + fresh + "\n"
		}
		return out
	})
}
