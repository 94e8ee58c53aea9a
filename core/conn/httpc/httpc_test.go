package httpc_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/process/meter"
)

// startServer starts a TCP server that calls handle on each connection until it
// returns false, and counts the connections.
func startServer(t *testing.T, handle func(c net.Conn, r *bufio.Reader) bool) (address string, conns *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = &atomic.Int64{}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for handle(c, r) {
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

// readRequest reads a request and its body.
func readRequest(r *bufio.Reader) (*http.Request, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err == nil
}

func ownedBy(id string) func(*http.Response) bool {
	return func(a *http.Response) bool { return a.Header.Get("Id") == id }
}

func do(t *testing.T, p *httpc.Pool, address, id string, body []byte) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), address, &httpc.Request{
		Method: http.MethodPost, Target: "/x?y=%20z", Host: "h", Header: http.Header{"Id": {id}}, Body: body, Matches: ownedBy(id),
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func newPool(t *testing.T) *httpc.Pool {
	t.Helper()
	p, cleanup := httpc.New(meter.New())
	t.Cleanup(cleanup)
	return p
}

func reply(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionsAreReused(t *testing.T) {
	address, conns := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := readRequest(r)
		if ok && q.RequestURI != "/x?y=%20z" {
			t.Errorf("target %q", q.RequestURI)
		}
		if ok {
			reply(c, q.Header.Get("Id"), "hello")
		}
		return ok
	})
	p := newPool(t)
	for i := range 5 {
		if b, err := do(t, p, address, fmt.Sprint(i), nil); err != nil || b != "hello" {
			t.Fatalf("response %q, error %v", b, err)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Fatalf("%d connections for 5 requests in a row", n)
	}
}

// A late response to an earlier request must reach no caller.
func TestUnmatchedResponsesAreSkipped(t *testing.T) {
	address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := readRequest(r)
		if ok {
			reply(c, "other", "stray")
			reply(c, q.Header.Get("Id"), "mine")
		}
		return ok
	})
	p := newPool(t)
	for i := range 3 {
		if b, err := do(t, p, address, fmt.Sprint(i), nil); err != nil || b != "mine" {
			t.Fatalf("response %q, error %v", b, err)
		}
	}
}

// A connection that received data after a complete response isn't reused.
func TestExtraDataClosesTheConnection(t *testing.T) {
	address, conns := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := readRequest(r)
		if ok {
			id := q.Header.Get("Id")
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok", 2))
		}
		return ok
	})
	p := newPool(t)
	for i := range 3 {
		if b, err := do(t, p, address, fmt.Sprint(i), nil); err != nil || b != "ok" {
			t.Fatalf("response %q, error %v", b, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections, want one per request", n)
	}
}

func TestOnlyUnmatchedResponses(t *testing.T) {
	address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		_, ok := readRequest(r)
		if ok {
			reply(c, "other", "stray")
		}
		return false
	})
	_, err := do(t, newPool(t), address, "1", nil)
	if err == nil || !httpc.MaybeSent(err) {
		t.Fatalf("error %v, sent %v: the request may have run", err, httpc.MaybeSent(err))
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := do(t, newPool(t), address, "1", nil); err == nil || httpc.MaybeSent(err) {
		t.Fatalf("error %v, sent %v", err, httpc.MaybeSent(err))
	}
}

// An idle connection that the server closed isn't used: a request that may run only
// once would end with an unknown outcome.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, conns := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := readRequest(r)
		if ok {
			reply(c, q.Header.Get("Id"), "ok")
		}
		return false
	})
	p := newPool(t)
	for i := range 3 {
		if _, err := do(t, p, address, fmt.Sprint(i), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // lets the server's close arrive
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections", n)
	}
}

// A response that arrives before a long request body was read is accepted. The
// connection isn't reused, since the server may still expect bytes of that body.
func TestEarlyResponse(t *testing.T) {
	address, conns := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Id"))
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, q.Body)
		return true
	})
	p := newPool(t)
	body := make([]byte, 32<<20)
	for i := range 2 {
		if _, err := do(t, p, address, fmt.Sprint(i), body); err != nil {
			t.Fatal(err)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Fatalf("%d connections, want a new one after an early response", n)
	}
}

// A response without a length ends when its connection is closed; if the connection
// is reset, the response is incomplete.
func TestResponsesWithoutLength(t *testing.T) {
	var reset atomic.Bool
	address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := readRequest(r)
		if !ok {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart", q.Header.Get("Id"))
		if reset.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	p := newPool(t)
	if b, err := do(t, p, address, "1", nil); err != nil || b != "part" {
		t.Fatalf("response %q, error %v", b, err)
	}
	reset.Store(true)
	if b, err := do(t, p, address, "2", nil); err == nil {
		t.Fatalf("a reset response was accepted as complete: %q", b)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nshort",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head)
				}
				return false
			})
			if b, err := do(t, newPool(t), address, "1", nil); err == nil {
				t.Fatalf("a truncated response was accepted as complete: %q", b)
			}
		})
	}
}

func TestContextEndClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		_, ok := readRequest(r)
		if !ok {
			return false
		}
		_, _ = r.ReadByte() // returns when the client closes
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := newPool(t).Do(ctx, address, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stayed open")
	}
}

// A server in trouble may send bytes until the caller closes.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, piece := range map[string]string{
		"status line":     "x",
		"header":          "X: " + strings.Repeat("a", 100) + "\r\n",
		"one field":       "a",
		"interim answers": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
				if _, ok := readRequest(r); !ok {
					return false
				}
				switch name {
				case "header":
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
				case "one field":
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX: ")
				}
				for block := strings.Repeat(piece, 1000); ; {
					n, err := io.WriteString(c, block)
					sent.Add(int64(n))
					if err != nil {
						return false
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := newPool(t).Do(ctx, address, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err == nil || ctx.Err() != nil || !httpc.MaybeSent(err) {
				t.Fatalf("error %v after %d bytes", err, sent.Load())
			}
		})
	}
}
