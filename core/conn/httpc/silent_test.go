package httpc_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/mute"
)

const (
	// survivedSilence is the longest silence of a server or its link that an
	// exchange must survive, and maxSilence the longest that it may.
	survivedSilence = 2500 * time.Millisecond
	maxSilence      = 6 * time.Second
	// quietTime is how long a server computes after its link is back, without a
	// packet of its own.
	quietTime = 2 * time.Second
)

// silentServer answers the first request at once, and falls silent for a time at
// a place in the second, or before it.
type silentServer struct {
	t       *testing.T
	place   string // request, head or stream
	link    bool   // the link is silent, not the process
	silence time.Duration
	quiet   time.Duration // after the silence
	count   int
	ready   chan struct{} // closed when the second request may be sent
}

func (s *silentServer) handle(c net.Conn, r *bufio.Reader) bool {
	q, ok := readRequest(r)
	if !ok {
		return false
	}
	s.count++
	id := q.Header.Get("Id")
	if s.count == 1 {
		reply(c, id, "first")
		if s.place == "request" {
			time.Sleep(100 * time.Millisecond) // the answer is acknowledged
			s.fallSilent(c, func() { close(s.ready) })
			return true
		}
		close(s.ready)
		return true
	}
	if s.place == "head" {
		s.fallSilent(c, func() {})
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 6\r\n\r\nsec", id)
	if s.place == "stream" {
		time.Sleep(100 * time.Millisecond)
		s.fallSilent(c, func() {})
	}
	_, _ = io.WriteString(c, "ond")
	return true
}

func (s *silentServer) fallSilent(c net.Conn, then func()) {
	restore := func() error { return nil }
	if s.link {
		var err error
		if restore, err = mute.Silence(c.(*net.TCPConn)); err != nil {
			s.t.Error(err)
		}
	}
	then()
	time.Sleep(s.silence)
	if err := restore(); err != nil {
		s.t.Error(err)
	}
	time.Sleep(s.quiet)
}

// ask sends two requests to a server that falls silent in the second, and returns
// how long the second took.
func (s *silentServer) ask(t *testing.T, body []byte) (time.Duration, error) {
	s.t, s.ready = t, make(chan struct{})
	address, conns := startServer(t, s.handle)
	p := newPool(t)
	if b, err := do(t, p, address, "1", nil); err != nil || b != "first" {
		t.Fatalf("first answer %q, %v", b, err)
	}
	<-s.ready
	start := time.Now()
	b, err := do(t, p, address, "2", body)
	if err == nil && b != "second" {
		err = fmt.Errorf("answer %q", b)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
	return time.Since(start), err
}

// A sound server may be silent for a second or so, and so may a path. The answer
// comes a while after that: until then, only the kernels exchange packets.
func TestExchangeSurvivesSilence(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 4<<20)
	for _, link := range []bool{false, true} {
		for _, c := range []struct {
			place string
			body  []byte
		}{{"request", nil}, {"request", large}, {"head", nil}, {"stream", nil}} {
			t.Run(fmt.Sprintf("link=%v/%s/%d", link, c.place, len(c.body)), func(t *testing.T) {
				t.Parallel()
				s := &silentServer{place: c.place, link: link, silence: survivedSilence}
				if link {
					s.quiet = quietTime
				}
				if took, err := s.ask(t, c.body); err != nil {
					t.Errorf("after %v: %v", took, err)
				}
			})
		}
	}
}

// A link that is silent for good must end an exchange by itself.
func TestExchangeEndsOnLinkThatStaysSilent(t *testing.T) {
	for _, place := range []string{"request", "head", "stream"} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			s := &silentServer{place: place, link: true, silence: 2 * maxSilence}
			if took, err := s.ask(t, nil); err == nil || took > maxSilence || !httpc.MaybeSent(err) {
				t.Errorf("error %v after %v", err, took)
			}
		})
	}
}
