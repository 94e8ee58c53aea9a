package drain

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var headEnd = []byte("\r\n\r\n")

// maxRest limits what is kept of the bytes behind a head.
const maxRest = 16 << 10

// conn follows the requests that arrive on a connection, of which the server may read
// several at once.
type conn struct {
	*net.TCPConn

	mutex     sync.Mutex
	idle      bool
	idleSince time.Time
	quiet     time.Duration // for which it must be idle until it may be closed

	part     int    // bytes of an incomplete head
	matched  int    // bytes of headEnd at its end
	complete bool   // a head is complete whose request hasn't begun
	rest     []byte // what follows it
	body     int64  // bytes of the body of the latest request that are still to come
	unknown  bool   // where the latest request ends isn't known
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.mutex.Lock()
		c.follow(b[:n])
		c.mutex.Unlock()
	}
	return n, err //nolint:wrapcheck // io.EOF is compared by value
}

// follow follows what was read. The caller holds the mutex.
func (c *conn) follow(b []byte) {
	switch {
	case c.unknown:
		return
	case c.complete && len(c.rest)+len(b) > maxRest:
		c.unknown = true
		return
	case c.complete:
		c.rest = append(c.rest, b...)
		return
	}
	n := min(c.body, int64(len(b)))
	c.body -= n
	for i, v := range b[n:] {
		c.part++
		switch v {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		if c.matched == len(headEnd) {
			c.complete, c.rest = true, slices.Clone(b[n+int64(i)+1:])
			c.part, c.matched = 0, 0
			return
		}
	}
}

// begin records that the server begins a request with a body of a length, negative if it
// isn't known, and reports whether some of another request has arrived behind it.
func (c *conn) begin(length int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	rest := c.rest
	c.complete, c.rest = false, nil
	if length < 0 || c.unknown {
		c.unknown = true
		return false
	}
	c.body = length
	c.follow(rest)
	return c.hasNext()
}

// hasNext reports whether some of another request has arrived. The caller holds the
// mutex.
func (c *conn) hasNext() bool { return !c.unknown && (c.part > 0 || c.complete) }

func (c *conn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle, c.idleSince, c.quiet = state == http.StateIdle || state == http.StateNew, time.Now(), quietTime
	if state == http.StateNew {
		c.quiet = newQuietTime
	}
	if c.idle && c.unknown {
		c.unknown, c.complete, c.rest, c.part, c.matched, c.body = false, false, nil, 0, 0, 0
	}
}

// isQuiet reports whether no request runs on the connection and nothing of another one
// has arrived.
func (c *conn) isQuiet(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.idle && !c.hasNext() && now.Sub(c.idleSince) >= c.quiet && !hasUnread(c.TCPConn)
}

// hasUnread reports whether bytes wait in the kernel.
func hasUnread(c *net.TCPConn) bool {
	n := 0
	err := withSocket(c, func(fd int) (err error) {
		var b [1]byte
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			n, err = 0, nil
		}
		return err //nolint:wrapcheck // only compared with nil
	})
	return err == nil && n > 0
}

// withSocket calls f with the file descriptor of a connection or listener.
func withSocket(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return callErr
}
