package pool_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
)

// headTime is how long the head of an early answer takes to arrive.
const headTime = 5 * time.Millisecond

// earlyServer answers each request once it has read its head, "#" in the answer replaced by
// the name of the exchange. The request "/whole" is read and answered whole.
type earlyServer struct {
	answer string
	reset  bool // the connection, else the server shuts down its sending side and reads on
}

func (s *earlyServer) start(t *testing.T) (url string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return "http://" + l.Addr().String()
}

func (s *earlyServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		name := q.Header.Get(engine.HeaderExchange)
		if q.URL.Path == "/whole" {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+engine.HeaderExchange+": "+name+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(s.answer, "#", name))
		if s.reset {
			time.Sleep(headTime)
			_ = c.SetLinger(0)
			return
		}
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
		return
	}
}

// post sends a request over a new or a kept connection, and returns the body of its answer.
func post(t *testing.T, url string, body []byte, kept bool) (string, error) {
	t.Helper()
	p, cleanup := pool.New()
	defer cleanup()
	do := func(path string, body []byte) (string, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		a, err := p.Do(r)
		if err != nil {
			return "", err
		}
		defer func() { _ = a.Body.Close() }()
		b, err := io.ReadAll(a.Body)
		return string(b), err
	}
	for range map[bool]int{true: 2}[kept] { // the first one shows that the server names exchanges
		if _, err := do("/whole", nil); err != nil {
			t.Fatal(err)
		}
	}
	return do("/x", body)
}

const namedHead = "HTTP/1.1 200 OK\r\n" + engine.HeaderExchange + ": #\r\n"

// Callers got part of an answer as whole if the connection was reset while the request was
// still being written: the write alone saw the reset.
func TestAnswerResetDuringUploadDoesNotLookWhole(t *testing.T) {
	for name, s := range map[string]*earlyServer{
		"text":   {answer: namedHead + "\r\npart", reset: true},
		"events": {answer: namedHead + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n", reset: true},
	} {
		for _, kept := range []bool{false, true} {
			url, whole := s.start(t), 0
			for range 50 {
				if _, err := post(t, url, make([]byte, 8<<20), kept); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%s, kept %v: %d of 50 answers look whole", name, kept, whole)
			}
		}
	}
}

// A server that answers before it has read the request, and then only shuts down its sending
// side, has sent all of its answer.
func TestAnswerBeforeEndOfUploadIsWhole(t *testing.T) {
	url := (&earlyServer{answer: namedHead + "\r\nall"}).start(t)
	for range 20 {
		if b, err := post(t, url, make([]byte, 8<<20), false); b != "all" || err != nil {
			t.Fatalf("%q, %v", b, err)
		}
	}
}
