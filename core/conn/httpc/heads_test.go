package httpc_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"verbenahaven.example/core/conn/strict"
)

// Callers got what follows a head whose status HTTP doesn't have, and answers whose heads have
// malformed names. A response to another request may come before, in the same segment.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const sound, stray = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nstray"
	for answer, want := range map[string]error{
		"HTTP/1.1 000 X\r\n\r\n" + sound:                                   strict.ErrStatus,
		"HTTP/1.1 101 X\r\n\r\n" + sound:                                   strict.ErrStatus,
		"HTTP/1.1 600 X\r\nId: 1\r\n\r\nok":                                strict.ErrStatus,
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 1\r\n\r\nok":         strict.ErrField,
		"HTTP/1.1 200 OK\r\nId: 1\r\nX Odd: 1\r\n\r\nok":                   strict.ErrField,
		"HTTP/1.1 200 OK\r\nId: 1\r\n Content-Length: 1\r\n\r\nok":         strict.ErrField,
		"HTTP/1.1 200 OK\r\nId: 1\r\nX\x01Odd: 1\r\n\r\nok":                strict.ErrField,
		"HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\n" + sound:                       strict.ErrField,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n" + sound: strict.ErrField,
		"HTTP/1.1 103 X\r\nOdd: 1\r\n\r\n" + sound:                         nil,
	} {
		for _, before := range []string{"", stray} {
			address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, before+answer)
				}
				return false
			})
			if b, err := do(t, newPool(t), address, "1", nil); !errors.Is(err, want) || err == nil && b != "ok" {
				t.Errorf("%q after %q: %q, %v", answer, before, b, err)
			}
		}
	}
}
