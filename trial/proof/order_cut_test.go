package proof_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
)

// detour is a TCP path to an engine that can hold back one connection with an
// order, and deliver it once the path has healed. A connection that its sender
// has reset meanwhile has nothing left to deliver.
type detour struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	armed    bool
	held     chan struct{} // closed once an order is held back
	release  chan struct{}
	outcome  chan string
}

func newDetour(t *testing.T, target string) *detour {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &detour{
		listener: l, target: strings.TrimPrefix(target, "http://"),
		held: make(chan struct{}), release: make(chan struct{}), outcome: make(chan string, 1),
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *detour) arm() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.armed = true
}

// takes tells whether this connection is the one to hold back.
func (d *detour) takes(first []byte) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.armed || !bytes.HasPrefix(first, []byte("POST /order")) {
		return false
	}
	d.armed = false
	return true
}

func (d *detour) serve(c net.Conn) {
	defer c.Close()
	first := make([]byte, 64<<10)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	first = first[:n]
	if d.takes(first) {
		close(d.held)
		<-d.release
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			d.outcome <- "dropped"
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		defer func() { d.outcome <- "delivered" }()
	}
	to, err := net.Dial("tcp", d.target)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(first); err != nil {
		return
	}
	go func() { _, _ = io.Copy(to, c) }()
	_, _ = io.Copy(c, to)
}

// P1, P3: an order of a leader stays in a cut TCP connection to an engine that
// obeys anything. The leader is cut off as well, its successor carries the
// order out and issues another; then the path heals. The leader has reset the
// connection at the end of its lease, so nothing of the old order arrives.
func TestOrderLeftInCutConnection(t *testing.T) {
	g := orderGroup(t, true, false)
	d := newDetour(t, g.URL("open"))
	old := g.leader()
	g.runAt(old, "declare engine open url http://%s", d.listener.Addr())
	d.arm()
	g.runAt(old, "assign engine open role decode")
	<-d.held
	if err := g.Cut(t.Context(), old.Name(), string(stand.Cut)); err != nil {
		t.Fatal(err)
	}
	next := g.leader(old)
	g.idle(next, "open", state.RoleDecode)
	g.runAt(next, "assign engine open role prefill")
	g.idle(next, "open", state.RolePrefill)
	close(d.release)
	if got := <-d.outcome; got != "dropped" {
		t.Errorf("the old order was %s", got)
	}
	time.Sleep(flight)
	g.noConflict("open", 2)
}
