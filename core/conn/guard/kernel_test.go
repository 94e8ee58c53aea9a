package guard

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// A receiver that reads nothing leaves bytes in the sender's kernel. They are
// given up when the time is over, without any help of the process: what is
// read later is not the whole message.
func TestKernelGivesUp(t *testing.T) {
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
	if err := c.expire(200 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	message := make([]byte, 4<<20)
	_ = d.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent, _ := c.TCPConn.Write(message) // what the kernel takes, it keeps
	time.Sleep(2 * time.Second)
	got := 0
	_ = receiver.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = receiver.Read(buffer)
		got += n
	}
	if !errors.Is(err, syscall.ECONNRESET) || got >= sent {
		t.Fatalf("%d bytes handed to the kernel, %d arrived after the time was over: %v", sent, got, err)
	}
}
