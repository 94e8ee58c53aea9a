package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/drain"
	"verbenahaven.example/core/conn/intake"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/meter"
)

const (
	memory    = 8 << 20 // bytes of the process, an eighth of them for heads
	smallHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// server is a server whose requests for /wait are answered when it is released.
type server struct {
	address string
	meter   *meter.Registry
	limits  intake.Limits
	began   chan struct{}
	release chan struct{}
}

func start(t *testing.T) *server {
	t.Helper()
	return startWith(t, intake.NewLimits(memory, 0))
}

func startWith(t *testing.T, limits intake.Limits) *server {
	t.Helper()
	s := &server{meter: meter.New(), limits: limits, began: make(chan struct{}, 1), release: make(chan struct{})}
	l, err := boot.Listen(t.Context(), "test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	h := &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			s.began <- struct{}{}
			<-s.release
		}
	})}
	i := intake.New(s.limits, s.meter)
	i.Install(h)
	d := drain.New(h)
	d.Wrap(i.Listener)
	go func() { _ = d.Serve(l) }()
	t.Cleanup(func() { _ = d.Close() })
	return s
}

func (s *server) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

// send sends text and returns the status of the answer, 0 without one.
func send(c net.Conn, r *bufio.Reader, text string) int {
	_, _ = io.WriteString(c, text)
	return status(r)
}

func status(r *bufio.Reader) int {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

func headOf(path string, fields int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", fields) + "\r\n"
}

// await waits until a metric has a value.
func (s *server) await(t *testing.T, want int64, parts ...string) {
	t.Helper()
	for range 500 {
		if s.meter.Value(parts...) == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%v is %d, want %d", parts, s.meter.Value(parts...), want)
}

// The memory of a head is held until its answer, and small heads have some of their own.
func TestHeadIsRefusedWhileOthersFillMemory(t *testing.T) {
	s := start(t)
	const fields = 1500 // more than half of the memory for heads
	first, answer := s.dial(t)
	_, _ = io.WriteString(first, headOf("/wait", fields))
	<-s.began
	second, r := s.dial(t)
	if got := send(second, r, headOf("/", fields)); got != http.StatusServiceUnavailable {
		t.Errorf("status %d of a head without room", got)
	}
	small, r := s.dial(t)
	if got := send(small, r, smallHead); got != http.StatusOK {
		t.Errorf("status %d of a small head", got)
	}
	close(s.release)
	if got := status(answer); got != http.StatusOK {
		t.Errorf("status %d of the first head", got)
	}
	s.await(t, 0, "intake", "memory")
	third, r := s.dial(t)
	for range 3 {
		if got := send(third, r, headOf("/", fields)); got != http.StatusOK {
			t.Errorf("status %d of a head with room", got)
		}
	}
}

// Heads that arrive behind a request, or after empty lines, got past the limit.
func TestHeadBehindRequestNeedsMemory(t *testing.T) {
	const body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	const chunks = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for _, before := range []string{smallHead, body, chunks, body + "\r\n\r\n"} {
		s := start(t)
		c, r := s.dial(t)
		_, _ = io.WriteString(c, before+headOf("/wait", 1000))
		if got := status(r); got != http.StatusOK {
			t.Fatalf("%.20q: status %d", before, got)
		}
		<-s.began
		if held := s.meter.Value("intake", "memory"); held < 1000*256 {
			t.Errorf("%.20q: %d bytes held for a head of 1,000 fields", before, held)
		}
		close(s.release)
		if got := status(r); got != http.StatusOK {
			t.Errorf("%.20q: status %d of the second request", before, got)
		}
		s.await(t, 0, "intake", "memory")
	}
}

// The connection that has waited longest makes room for a new one, and none with a request.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	s := start(t)
	running, answer := s.dial(t)
	_, _ = io.WriteString(running, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.began
	head, headAnswer := s.dial(t)
	_, _ = io.WriteString(head, "GET / HTTP/1.1\r\nX: part of a head")
	posted, bodyAnswer := s.dial(t)
	_, _ = io.WriteString(posted, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart")
	others := make([]*bufio.Reader, 0, s.limits.Conns())
	for n := range s.limits.Conns() - 3 {
		c, r := s.dial(t)
		if got := send(c, r, smallHead); got != http.StatusOK {
			t.Fatalf("status %d of connection %d", got, n)
		}
		others = append(others, r)
	}
	waiting := map[string]*bufio.Reader{"part of a head": headAnswer, "part of a body": bodyAnswer, "idle for longest": others[0]}
	for range waiting {
		c, r := s.dial(t)
		if got := send(c, r, smallHead); got != http.StatusOK {
			t.Errorf("status %d beyond the limit", got)
		}
	}
	for name, r := range waiting {
		if _, err := r.ReadByte(); err == nil || fmt.Sprint(err) != "EOF" {
			t.Errorf("%s: %v, want a closed connection", name, err)
		}
	}
	if got := s.meter.Value("intake", "closed", "waiting"); got != int64(len(waiting)) {
		t.Errorf("%d connections closed, want %d", got, len(waiting))
	}
	close(s.release)
	if got := status(answer); got != http.StatusOK {
		t.Errorf("status %d of the running request", got)
	}
}

// A process that doesn't know its memory refused all heads.
func TestUnknownMemoryLeavesRoom(t *testing.T) {
	s := startWith(t, intake.NewLimits(0, 0))
	c, r := s.dial(t)
	if got := send(c, r, headOf("/", 1500)); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}
