package httpc

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/strict"
)

// bufferSize is the size of a connection's read buffer in bytes. It fits the header
// of most responses, or several events of a stream.
const bufferSize = 4 << 10

// conn is a pooled connection. It serves one exchange at a time.
type conn struct {
	pool        *Pool
	address     string
	tcp         *net.TCPConn
	checked     *strict.Conn  // tcp, for reads and writes
	source      *source       // of checked
	reader      *bufio.Reader // of source
	idleTimeout time.Duration // maximum time in the pool
	idleUntil   time.Time     // deadline for reuse from the pool
	unproven    bool          // dialled for an exchange, and nothing has arrived
	carried     carried       // exchanges so far
	once        sync.Once
}

func newConn(p *Pool, address string, tcp *net.TCPConn) *conn {
	checked := strict.NewConn(tcp)
	c := &conn{pool: p, address: address, tcp: tcp, checked: checked, source: &source{Reader: checked}, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c.source, bufferSize)
	if err := c.withSocket(func(fd int) error {
		return unix.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		// Without the option a silent connection is detected only when the
		// request's deadline passes.
		p.counter.Count("conn", "no_user_timeout")
	}
	return c
}

// withSocket calls f with the file descriptor of the connection's socket.
func (c *conn) withSocket(f func(fd int) error) error {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return callErr
}

// reusable reports whether an idle connection is still open and has received
// nothing.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.withSocket(func(fd int) error {
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
