package proxy

import (
	"net"
	"sync"
	"time"
)

// pair is one forwarded connection.
type pair struct {
	client net.Conn

	mutex  sync.Mutex
	target net.Conn
	closed bool
	done   chan struct{} // closed when both ends are
	silent chan struct{} // closed when the pair stops forwarding for good
	muted  bool
}

// join adds the far end; false if the pair has closed meanwhile.
func (q *pair) join(target net.Conn) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		_ = target.Close()
		return false
	}
	q.target = target
	return true
}

func (q *pair) close(reset bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed {
		return
	}
	q.closed = true
	close(q.done)
	for _, c := range []net.Conn{q.client, q.target} {
		if c == nil {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// silence stops the pair for good; both ends stay open and hear nothing.
func (q *pair) silence() {
	q.mutex.Lock()
	if !q.muted {
		q.muted = true
		close(q.silent)
	}
	q.mutex.Unlock()
	q.wake()
}

// wake interrupts blocked reads.
func (q *pair) wake() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_ = q.client.SetReadDeadline(time.Unix(1, 0))
	if q.target != nil {
		_ = q.target.SetReadDeadline(time.Unix(1, 0))
	}
}

// live is false once the pair is closed. For a silent pair it waits for that.
func (q *pair) live() bool {
	select {
	case <-q.done:
		return false
	case <-q.silent:
		<-q.done
		return false
	default:
		return true
	}
}

// sleep waits; false if the pair closes meanwhile.
func (q *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.done:
		return false
	}
}
