package httpc_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/httpc"
)

// Many answers that broken servers begin at once must not use up the memory by their heads:
// a short field takes twenty times its length.
func TestHeadsAreBoundedBeforeTheyEnd(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
		}
		return b.String()
	}
	const ok, interim = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n", "HTTP/1.1 103 X\r\n\r\n"
	for _, c := range []struct {
		name, head string
		taken      bool
	}{
		{"200 fields", ok + fields(200) + "\r\n", true},
		{"a field of 32 KiB", ok + "A: " + strings.Repeat("a", 32<<10) + "\r\n\r\n", true},
		{"interim heads", strings.Repeat(interim, 8) + ok + "\r\n", true},
		{"many fields", ok + fields(600) + "\r\n", false},
		{"fields without end", ok + fields(8000), false},
		{"interim heads without end", strings.Repeat(interim, 2000), false},
		{"a field without end", ok + "A: " + strings.Repeat("a", 80<<10), false},
		{"a status without end", strings.Repeat("a", 80<<10), false},
		{"no field", ok + strings.Repeat("a", 32<<10) + "\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(conn, c.head)
				_, _ = r.ReadByte() // until the client closes
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := newPool(t).Do(ctx, address, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err == nil {
				_ = a.Body.Close()
			}
			if (err == nil) != c.taken || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v", err)
			}
			if err != nil && len(err.Error()) > 1<<10 {
				t.Errorf("an error of %d bytes", len(err.Error()))
			}
		})
	}
}

// What frames a body may have no end either.
func TestFramingWithoutEndIsGivenUp(t *testing.T) {
	long := strings.Repeat("a", 1<<20)
	for name, body := range map[string]string{
		"chunk size": long, "chunk extension": "1;" + long, "extensions": strings.Repeat("1;"+long[:100]+"\r\nx\r\n", 1000), "trailer": "0\r\nA: " + long,
		"trailers": "0\r\n" + strings.Repeat("a: b\r\n", 100_000), "size beyond the largest": "fffffffffffffffff\r\n" + long,
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader) bool {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
				_, _ = r.ReadByte() // until the client closes
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := newPool(t).Do(ctx, address, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			if err == nil || ctx.Err() != nil || n > 1<<10 {
				t.Errorf("error %v after %d bytes", err, n)
			}
		})
	}
}
