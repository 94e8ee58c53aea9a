package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

const (
	dialTimeout = 3 * time.Second
	chunkBytes  = 32 << 10
	chunkBuffer = 256
)

// TCP forwards connections. While a direction is partitioned, its bytes are held
// back; they are forwarded once the partition is cleared.
type TCP struct {
	config     config.Proxy
	conditions *conditions
	listener   net.Listener
	group      sync.WaitGroup

	mutex sync.Mutex
	conns map[*forwardedConn]struct{}
}

// NewTCP starts forwarding. The returned function stops it and closes all
// connections.
func NewTCP(ctx context.Context, c config.Proxy) (*TCP, func(), error) {
	l, err := boot.Listen(ctx, "proxy.listen", c.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("proxy %s: %w", c.Name, err)
	}
	p := &TCP{config: c, conditions: newConditions(), listener: l, conns: make(map[*forwardedConn]struct{})}
	p.group.Go(func() { p.accept(context.WithoutCancel(ctx)) })
	return p, p.close, nil
}

func (p *TCP) close() {
	_ = p.listener.Close()
	p.forEachConn(func(fc *forwardedConn) { fc.close(false) })
	p.group.Wait()
}

// forEachConn calls f for all open connections, without holding the mutex.
func (p *TCP) forEachConn(f func(fc *forwardedConn)) {
	p.mutex.Lock()
	open := make([]*forwardedConn, 0, len(p.conns))
	for fc := range p.conns {
		open = append(open, fc)
	}
	p.mutex.Unlock()
	for _, fc := range open {
		f(fc)
	}
}

// InjectFault injects or clears a fault.
func (p *TCP) InjectFault(f inject.Fault) error {
	switch f.Kind {
	case inject.StallConns:
		p.forEachConn(func(fc *forwardedConn) { fc.stall() })
		return nil
	case inject.ResetConns:
		p.forEachConn(func(fc *forwardedConn) { fc.close(true) })
		return nil
	}
	lasting, err := p.conditions.apply(f)
	if !lasting {
		return fmt.Errorf("%s: %w", f.Kind, errUnknownFault)
	}
	// Blocked reads must notice a partition before the next bytes arrive.
	p.forEachConn(func(fc *forwardedConn) { fc.interruptReads() })
	return err
}

func (p *TCP) accept(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		fc := &forwardedConn{client: c, done: make(chan struct{}), stalled: make(chan struct{})}
		p.mutex.Lock()
		p.conns[fc] = struct{}{}
		p.mutex.Unlock()
		p.group.Go(func() { p.serve(ctx, fc) })
	}
}

func (p *TCP) serve(ctx context.Context, fc *forwardedConn) {
	defer func() {
		fc.close(false)
		p.mutex.Lock()
		delete(p.conns, fc)
		p.mutex.Unlock()
	}()
	if !p.conditions.waitOpen(up, fc.done) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.config.Target)
	if err != nil {
		fc.close(true)
		return
	}
	if !fc.setTarget(target) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.forwardDirection(fc, up, fc.client, target) })
	group.Go(func() { p.forwardDirection(fc, down, target, fc.client) })
	group.Wait()
}

// chunk is data that is written when its delay has passed.
type chunk struct {
	due  time.Time
	data []byte
}

// forwardDirection forwards one direction until its stream ends or the
// connection is closed.
func (p *TCP) forwardDirection(fc *forwardedConn, d direction, from, to net.Conn) {
	queue := make(chan chunk, chunkBuffer)
	var group sync.WaitGroup
	group.Go(func() { p.writeChunks(fc, d, to, queue) })
	p.readChunks(fc, d, from, queue)
	close(queue)
	group.Wait()
}

// readChunks reads from the source until its stream ends, and pauses while the
// direction is partitioned.
func (p *TCP) readChunks(fc *forwardedConn, d direction, from net.Conn, queue chan<- chunk) {
	buffer := make([]byte, chunkBytes)
	for fc.forwarding() && p.conditions.waitOpen(d, fc.done) {
		_ = from.SetReadDeadline(time.Time{})
		if partitioned, _ := p.conditions.isPartitioned(d); partitioned {
			continue
		}
		n, err := from.Read(buffer)
		if n > 0 {
			delay, _ := p.conditions.delayAndLoss()
			c := chunk{time.Now().Add(delay), append([]byte(nil), buffer[:n]...)}
			select {
			case queue <- c:
			case <-fc.done:
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

// writeChunks writes each chunk when it is due and the direction is open. At the
// end of the stream it closes the write side of the connection.
func (p *TCP) writeChunks(fc *forwardedConn, d direction, to net.Conn, queue <-chan chunk) {
	for c := range queue {
		if !fc.sleep(time.Until(c.due)) || !p.conditions.waitOpen(d, fc.done) || !fc.forwarding() {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			fc.close(true)
			break
		}
	}
	for range queue { //nolint:revive // discards the remaining chunks
	}
	if !fc.forwarding() {
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
