package kept_test

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

	"verbenahaven.example/core/conn/kept"
	"verbenahaven.example/core/process/meter"
)

// serve answers each connection with a function until it returns false, and
// counts the connections.
func serve(t *testing.T, f func(c net.Conn, r *bufio.Reader) bool) (address string, conns *atomic.Int64) {
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
				for f(c, r) {
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

// take reads a request and its body.
func take(r *bufio.Reader) (*http.Request, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err == nil
}

func own(id string) func(*http.Response) bool {
	return func(a *http.Response) bool { return a.Header.Get("Id") == id }
}

func ask(t *testing.T, p *kept.Pool, address, id string, body []byte) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), address, &kept.Request{
		Method: http.MethodPost, Target: "/x?y=%20z", Host: "h", Header: http.Header{"Id": {id}}, Body: body, Own: own(id),
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func newPool(t *testing.T) *kept.Pool {
	t.Helper()
	p, cleanup := kept.New(meter.New())
	t.Cleanup(cleanup)
	return p
}

func reply(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionsAreKept(t *testing.T) {
	address, conns := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := take(r)
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
		if b, err := ask(t, p, address, fmt.Sprint(i), nil); err != nil || b != "hello" {
			t.Fatalf("answer %q, error %v", b, err)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Fatalf("%d connections for 5 requests in a row", n)
	}
}

// An answer to an earlier request that arrives late must reach nobody.
func TestStrayAnswersArePassedOver(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := take(r)
		if ok {
			reply(c, "other", "stray")
			reply(c, q.Header.Get("Id"), "mine")
		}
		return ok
	})
	p := newPool(t)
	for i := range 3 {
		if b, err := ask(t, p, address, fmt.Sprint(i), nil); err != nil || b != "mine" {
			t.Fatalf("answer %q, error %v", b, err)
		}
	}
}

// Bytes after a whole answer end the connection's use.
func TestExtraAnswersEndTheConnection(t *testing.T) {
	address, conns := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := take(r)
		if ok {
			id := q.Header.Get("Id")
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok", 2))
		}
		return ok
	})
	p := newPool(t)
	for i := range 3 {
		if b, err := ask(t, p, address, fmt.Sprint(i), nil); err != nil || b != "ok" {
			t.Fatalf("answer %q, error %v", b, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections, want one a request", n)
	}
}

func TestOnlyStraysFail(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		_, ok := take(r)
		if ok {
			reply(c, "other", "stray")
		}
		return false
	})
	_, err := ask(t, newPool(t), address, "1", nil)
	if err == nil || !kept.Sent(err) {
		t.Fatalf("error %v, sent %v: the request may have run", err, kept.Sent(err))
	}
}

func TestUnreachedIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := ask(t, newPool(t), address, "1", nil); err == nil || kept.Sent(err) {
		t.Fatalf("error %v, sent %v", err, kept.Sent(err))
	}
}

// An idle connection that the other end closed isn't tried: a request that may
// run once only would end with an unknown outcome.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, conns := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := take(r)
		if ok {
			reply(c, q.Header.Get("Id"), "ok")
		}
		return false
	})
	p := newPool(t)
	for i := range 3 {
		if _, err := ask(t, p, address, fmt.Sprint(i), nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the close arrives
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections", n)
	}
}

// An answer that comes before a long body was read is taken; the connection
// isn't used again, since body bytes may still be due there.
func TestEarlyAnswer(t *testing.T) {
	address, conns := serve(t, func(c net.Conn, r *bufio.Reader) bool {
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
		if _, err := ask(t, p, address, fmt.Sprint(i), body); err != nil {
			t.Fatal(err)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Fatalf("%d connections, want a new one after an early answer", n)
	}
}

// An answer without a length ends with its connection, and one that is reset
// isn't whole.
func TestUnframedAnswers(t *testing.T) {
	var cut atomic.Bool
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		q, ok := take(r)
		if !ok {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart", q.Header.Get("Id"))
		if cut.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	p := newPool(t)
	if b, err := ask(t, p, address, "1", nil); err != nil || b != "part" {
		t.Fatalf("answer %q, error %v", b, err)
	}
	cut.Store(true)
	if b, err := ask(t, p, address, "2", nil); err == nil {
		t.Fatalf("a reset answer counts as whole: %q", b)
	}
}

func TestCutAnswerIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nshort",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, r *bufio.Reader) bool {
				if _, ok := take(r); ok {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head)
				}
				return false
			})
			if b, err := ask(t, newPool(t), address, "1", nil); err == nil {
				t.Fatalf("taken for whole: %q", b)
			}
		})
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader) bool {
		_, ok := take(r)
		if !ok {
			return false
		}
		_, _ = r.ReadByte() // the other end closes
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := newPool(t).Do(ctx, address, &kept.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stayed open")
	}
}
