package strict_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"verbenahaven.example/core/conn/strict"
)

const (
	uploadBytes = 8 << 20
	answer      = "part"
)

// dial returns a connection to a server that handle plays. left is closed when the test ends.
func dial(t *testing.T, handle func(c *net.TCPConn, left <-chan struct{})) *strict.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served, left := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		c, err := l.Accept()
		_ = l.Close()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		handle(c.(*net.TCPConn), left)
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		close(left)
		<-served
	})
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return strict.NewConn(c)
}

// upload writes a long request and reads the answer meanwhile.
func upload(c *strict.Conn) (string, error) {
	go func() { _, _ = c.Write(make([]byte, uploadBytes)) }()
	b, err := io.ReadAll(c)
	return string(b), err
}

// answerEarly answers once a part of the request has arrived.
func answerEarly(c *net.TCPConn) {
	_, _ = bufio.NewReader(c).ReadByte()
	_, _ = io.WriteString(c, answer)
}

// The reset is reported to the write alone, in about half of the runs.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	for range 100 {
		c := dial(t, func(c *net.TCPConn, _ <-chan struct{}) {
			answerEarly(c)
			_ = c.SetLinger(0)
		})
		if got, err := upload(c); err == nil {
			t.Fatalf("read %q without an error", got)
		}
	}
}

// A server may answer before it has read the request, and shut down its sending side.
func TestEndDuringWriteIsEnd(t *testing.T) {
	for name, after := range map[string]func(*net.TCPConn, <-chan struct{}){
		"reads on":       func(c *net.TCPConn, _ <-chan struct{}) { _, _ = io.CopyN(io.Discard, c, uploadBytes/2) },
		"reads nothing":  func(_ *net.TCPConn, left <-chan struct{}) { <-left },
		"resets":         func(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) },
		"closes at once": func(*net.TCPConn, <-chan struct{}) {},
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				c := dial(t, func(c *net.TCPConn, left <-chan struct{}) {
					answerEarly(c)
					_ = c.CloseWrite()
					after(c, left)
				})
				if got, err := upload(c); got != answer || err != nil {
					t.Fatalf("read %q, %v", got, err)
				}
			}
		})
	}
}

// A wait for a write that the server doesn't read ends with the connection.
func TestCloseEndsWaitForWrite(t *testing.T) {
	c := dial(t, func(_ *net.TCPConn, left <-chan struct{}) { <-left })
	time.AfterFunc(50*time.Millisecond, func() { _ = c.Close() })
	if _, err := upload(c); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}
