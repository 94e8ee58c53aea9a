package proxy

import (
	"net"
	"sync"
	"time"
)

// forwardedConn is a client connection and its connection to the target.
type forwardedConn struct {
	client net.Conn

	mutex     sync.Mutex
	target    net.Conn
	closed    bool
	done      chan struct{} // closed together with both connections
	stalled   chan struct{} // closed when forwarding stops for good
	isStalled bool
}

// setTarget sets the connection to the target. If fc has been closed meanwhile,
// it closes the target and returns false.
func (fc *forwardedConn) setTarget(target net.Conn) bool {
	fc.mutex.Lock()
	defer fc.mutex.Unlock()
	if fc.closed {
		_ = target.Close()
		return false
	}
	fc.target = target
	return true
}

// close closes both connections, with a TCP reset if asked for.
func (fc *forwardedConn) close(reset bool) {
	fc.mutex.Lock()
	defer fc.mutex.Unlock()
	if fc.closed {
		return
	}
	fc.closed = true
	close(fc.done)
	for _, c := range []net.Conn{fc.client, fc.target} {
		if c == nil {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// stall stops forwarding for good. Both connections stay open but receive
// nothing more.
func (fc *forwardedConn) stall() {
	fc.mutex.Lock()
	if !fc.isStalled {
		fc.isStalled = true
		close(fc.stalled)
	}
	fc.mutex.Unlock()
	fc.interruptReads()
}

// interruptReads makes blocked reads return with a deadline error.
func (fc *forwardedConn) interruptReads() {
	fc.mutex.Lock()
	defer fc.mutex.Unlock()
	_ = fc.client.SetReadDeadline(time.Unix(1, 0))
	if fc.target != nil {
		_ = fc.target.SetReadDeadline(time.Unix(1, 0))
	}
}

// forwarding reports whether fc still forwards. If fc is stalled, it blocks until
// fc is closed.
func (fc *forwardedConn) forwarding() bool {
	select {
	case <-fc.done:
		return false
	case <-fc.stalled:
		<-fc.done
		return false
	default:
		return true
	}
}

// sleep waits for d and reports whether fc stayed open until then.
func (fc *forwardedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-fc.done:
		return false
	}
}
