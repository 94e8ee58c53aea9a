package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

const (
	dialTimeout = 3 * time.Second
	chunkBytes  = 32 << 10
	chunkRing   = 256
)

// TCP forwards connections. While a direction is cut, its bytes stay unread in
// the sockets and go on when the cut heals.
type TCP struct {
	config   config.Proxy
	state    *conditions
	listener net.Listener
	group    sync.WaitGroup

	mutex sync.Mutex
	pairs map[*pair]struct{}
}

// NewTCP starts to forward. The clean-up closes all connections.
func NewTCP(ctx context.Context, c config.Proxy) (*TCP, func(), error) {
	l, err := boot.Listen(ctx, "proxy.listen", c.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("proxy %s: %w", c.Name, err)
	}
	p := &TCP{config: c, state: newConditions(), listener: l, pairs: make(map[*pair]struct{})}
	p.group.Go(func() { p.accept(context.WithoutCancel(ctx)) })
	return p, p.close, nil
}

func (p *TCP) close() {
	_ = p.listener.Close()
	p.each(func(q *pair) { q.close(false) })
	p.group.Wait()
}

func (p *TCP) each(f func(q *pair)) {
	p.mutex.Lock()
	open := make([]*pair, 0, len(p.pairs))
	for q := range p.pairs {
		open = append(open, q)
	}
	p.mutex.Unlock()
	for _, q := range open {
		f(q)
	}
}

// Fault brings a fault about.
func (p *TCP) Fault(f stand.Fault) error {
	switch f.Kind {
	case stand.Silence:
		p.each(func(q *pair) { q.silence() })
		return nil
	case stand.Reset:
		p.each(func(q *pair) { q.close(true) })
		return nil
	}
	known, err := p.state.apply(f)
	if !known {
		return fmt.Errorf("%s: %w", f.Kind, errFault)
	}
	// Readers that wait for bytes must notice a cut before bytes come.
	p.each(func(q *pair) { q.wake() })
	return err
}

func (p *TCP) accept(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		q := &pair{client: c, done: make(chan struct{}), silent: make(chan struct{})}
		p.mutex.Lock()
		p.pairs[q] = struct{}{}
		p.mutex.Unlock()
		p.group.Go(func() { p.serve(ctx, q) })
	}
}

func (p *TCP) serve(ctx context.Context, q *pair) {
	defer func() {
		q.close(false)
		p.mutex.Lock()
		delete(p.pairs, q)
		p.mutex.Unlock()
	}()
	if !p.state.await(up, q.done) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.config.Target)
	if err != nil {
		q.close(true)
		return
	}
	if !q.join(target) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.pump(q, up, q.client, target) })
	group.Go(func() { p.pump(q, down, target, q.client) })
	group.Wait()
}

type chunk struct {
	due  time.Time
	data []byte
}

// pump forwards one direction until the connection ends.
func (p *TCP) pump(q *pair, d direction, from, to net.Conn) {
	ring := make(chan chunk, chunkRing)
	var group sync.WaitGroup
	group.Go(func() { p.send(q, d, to, ring) })
	p.receive(q, d, from, ring)
	close(ring)
	group.Wait()
}

func (p *TCP) receive(q *pair, d direction, from net.Conn, ring chan<- chunk) {
	buffer := make([]byte, chunkBytes)
	for q.live() && p.state.await(d, q.done) {
		_ = from.SetReadDeadline(time.Time{})
		if cut, _ := p.state.isCut(d); cut {
			continue
		}
		n, err := from.Read(buffer)
		if n > 0 {
			delay, _ := p.state.path()
			c := chunk{time.Now().Add(delay), append([]byte(nil), buffer[:n]...)}
			select {
			case ring <- c:
			case <-q.done:
				return
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
	}
}

// send writes chunks when they are due and the direction is open, then passes
// the end of the stream on.
func (p *TCP) send(q *pair, d direction, to net.Conn, ring <-chan chunk) {
	for c := range ring {
		if !q.sleep(time.Until(c.due)) || !p.state.await(d, q.done) || !q.live() {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			q.close(true)
			break
		}
	}
	for range ring { //nolint:revive // the rest is dropped
	}
	if !q.live() {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
