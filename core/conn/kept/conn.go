package kept

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bufferSize holds the head of most answers and some events of a stream.
const bufferSize = 4 << 10

// conn is one connection. One exchange uses it at a time.
type conn struct {
	pool    *Pool
	address string
	tcp     *net.TCPConn
	reader  *bufio.Reader
	life    time.Duration // as idle
	until   time.Time     // good as idle
	once    sync.Once
}

func newConn(p *Pool, address string, tcp *net.TCPConn) *conn {
	c := &conn{pool: p, address: address, tcp: tcp, reader: bufio.NewReaderSize(tcp, bufferSize), life: idleLife}
	if err := c.control(func(fd int) error {
		return unix.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	}); err != nil {
		// Without it a silent connection is noticed later, by the request's own time.
		p.counter.Count("conn", "no_user_timeout")
	}
	return c
}

func (c *conn) control(f func(fd int) error) error {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return failed
}

// quiet tells whether an idle connection is open and nothing arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.control(func(fd int) error {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return nil
	})
	return err == nil && empty
}

func (c *conn) close() {
	c.once.Do(func() { _ = c.tcp.Close() })
}
