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

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
)

// holdingProxy is a TCP proxy in front of an engine. Once armed, it holds back
// the next connection that carries an order until release is closed. It then
// forwards the order, or drops it if the sender has reset the connection.
type holdingProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	armed    bool
	held     chan struct{} // closed once an order is held back
	release  chan struct{}
	outcome  chan string
}

func newHoldingProxy(t *testing.T, target string) *holdingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &holdingProxy{
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

func (d *holdingProxy) arm() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.armed = true
}

// shouldHold reports whether to hold back the connection that begins with first.
// It disarms the proxy if so.
func (d *holdingProxy) shouldHold(first []byte) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.armed || !bytes.HasPrefix(first, []byte("POST /order")) {
		return false
	}
	d.armed = false
	return true
}

func (d *holdingProxy) serve(c net.Conn) {
	defer c.Close()
	first := make([]byte, 64<<10)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	first = first[:n]
	if d.shouldHold(first) {
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
	engine, err := net.Dial("tcp", d.target)
	if err != nil {
		return
	}
	defer engine.Close()
	if _, err := engine.Write(first); err != nil {
		return
	}
	go func() { _, _ = io.Copy(engine, c) }()
	_, _ = io.Copy(c, engine)
}

// TestOrderHeldInOldConnection delays a leader's order in a TCP connection to an
// engine that doesn't check fencing tokens. The leader is partitioned, its
// successor completes the order and issues another; then the connection is
// released. The old leader must have reset it at the end of its lease, so that
// the delayed order doesn't reach the engine and conflict with the newer one.
func TestOrderHeldInOldConnection(t *testing.T) {
	g := startOrderGroup(t, true, false)
	proxy := newHoldingProxy(t, g.DirectURL("open"))
	old := g.leader()
	g.runAt(old, "declare engine open url http://%s", proxy.listener.Addr())
	proxy.arm()
	g.runAt(old, "assign engine open role decode")
	<-proxy.held
	if err := g.SetPartition(t.Context(), old.Name(), string(inject.Partition)); err != nil {
		t.Fatal(err)
	}
	next := g.leader(old)
	g.waitRole(next, "open", state.RoleDecode)
	g.runAt(next, "assign engine open role prefill")
	g.waitRole(next, "open", state.RolePrefill)
	close(proxy.release)
	if got := <-proxy.outcome; got != "dropped" {
		t.Errorf("the old leader's order was %s, want dropped", got)
	}
	time.Sleep(orderFlight)
	g.checkOrders("open", 2)
}
