// Package strict reads the answers of servers from connections more strictly than net/http
// does.
package strict

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// closeWait is the state of a TCP socket whose peer has finished sending and isn't lost.
const closeWait = 8

// Conn is a client's connection to a server. One goroutine may read and another write at a
// time.
type Conn struct {
	net.Conn
	writing  sync.Mutex // held during a write
	writeErr error      // of the first failed write

	mutex   sync.Mutex // guards the fields below
	head    head
	headErr error // why nothing more is read
}

// NewConn returns a Conn that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err //nolint:wrapcheck // net/http compares connection errors by value
}

// BeginAnswer makes the connection check the heads of the next answer. buffered is what the
// caller has read and not parsed yet.
func (c *Conn) BeginAnswer(buffered []byte) error {
	c.mutex.Lock()
	c.head = head{place: inVersion}
	c.mutex.Unlock()
	_, err := c.check(buffered)
	return err
}

// Cause returns why an answer couldn't be read: the fault of its head, for which a parser may
// return an error of its own, or else err.
func (c *Conn) Cause(err error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.headErr != nil {
		return c.headErr
	}
	return err
}

// check returns how many of the bytes that follow may be parsed. The ones that are refused may
// be parsed up to the first invalid byte, which shows that the server answered.
func (c *Conn) check(b []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.head.advance(b)
	c.headErr = err
	return n, err
}

// Read implements net.Conn. It returns io.EOF only after the peer has finished sending, and
// the error of the write if the connection was lost during one. From the first invalid byte
// of a head on it returns ErrStatus or ErrField.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.lossOr(err)
	}
	if n, headErr := c.check(p[:n]); headErr != nil {
		return n, headErr
	}
	return n, err //nolint:wrapcheck // io.EOF must be returned as it is
}

// lossOr returns the error with which the connection was lost, or else err. The kernel reports
// a loss once: if a write got the error, a concurrent read gets the end of the data. EPIPE
// means that the peer had finished sending before that.
func (c *Conn) lossOr(err error) error {
	if c.peerFinished() {
		return err
	}
	c.writing.Lock() // a write that got the error may not have returned yet
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return err
	}
	return c.writeErr
}

// peerFinished reports whether the peer is known to have finished sending, without a loss of
// the connection since then. It doesn't wait for a write that the peer doesn't read.
func (c *Conn) peerFinished() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	finished := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		finished = err == nil && info.State == closeWait
	})
	return err == nil && finished
}
