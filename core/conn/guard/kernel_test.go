package guard

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// When the receiver doesn't read, bytes stay in the sender's kernel. The kernel
// must drop them after the user timeout without help from the process, so the
// receiver can't read the whole message later.
func TestUserTimeoutDropsUnsentBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(4096)
			accepted <- c
		}
	}()
	d, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	receiver := <-accepted
	defer receiver.Close()
	c := &conn{TCPConn: d.(*net.TCPConn)}
	if err := c.setUserTimeout(200 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	message := make([]byte, 4<<20)
	_ = d.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent, _ := c.TCPConn.Write(message) // accepted bytes stay in the send buffer
	time.Sleep(2 * time.Second)
	received := 0
	_ = receiver.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = receiver.Read(buffer)
		received += n
	}
	if !errors.Is(err, syscall.ECONNRESET) || received >= sent {
		t.Fatalf("%d bytes written, %d received after the user timeout: %v", sent, received, err)
	}
}
