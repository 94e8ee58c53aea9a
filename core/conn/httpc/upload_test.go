package httpc_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"verbenahaven.example/core/conn/httpc"
)

// Callers got part of an answer as whole if the connection was reset while the request was
// still being written: the write alone saw the reset.
func TestAnswerResetDuringUploadDoesNotLookWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"text":    "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart",
		"events":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n",
		"failure": "HTTP/1.1 500 X\r\nId: 1\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, answer)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			whole := 0
			for range 100 {
				if b, err := do(t, newPool(t), address, "1", make([]byte, 8<<20)); err == nil {
					whole++
				} else if !httpc.MaybeSent(err) {
					t.Fatalf("after %q: %v", b, err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of 100 answers look whole", whole)
			}
		})
	}
}

// A server that answers before it has read the request, and then only shuts down its sending
// side, has sent all of its answer.
func TestAnswerBeforeEndOfUploadIsWhole(t *testing.T) {
	address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
		q, err := http.ReadRequest(r)
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, q.Body)
		}
		return false
	})
	for range 20 {
		if b, err := do(t, newPool(t), address, "1", make([]byte, 8<<20)); b != "all" || err != nil {
			t.Fatalf("%q, %v", b, err)
		}
	}
}
