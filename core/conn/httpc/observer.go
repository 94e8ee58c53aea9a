package httpc

import (
	"context"
	"time"
)

// probeWait is how long a probed connection must hold: a network that refuses a
// server's address may reset it just after it was accepted.
const probeWait = 100 * time.Millisecond

// Observer is told what happens to the connections of a pool, by server address.
// It must be safe for concurrent use.
type Observer interface {
	// Dialling tells that an attempt to connect for an exchange begins, and one of
	// the next two that it ended. It succeeded once bytes arrived, since a network
	// that refuses a server's address may accept and reset connections. It was
	// Abandoned if the exchange ended before.
	Dialling(address string)
	Dialled(address string, ok bool)
	Abandoned(address string)
	// Sent tells that a request is written and waits for its response.
	Sent(address string)
	// Heard tells that bytes of a response arrived.
	Heard(address string)
	// Ended tells that an exchange that was Sent ended; lost means that its
	// connection broke or was given up as silent before any byte of a response.
	Ended(address string, lost bool)
}

type noObserver struct{}

func (noObserver) Dialling(string)      {}
func (noObserver) Dialled(string, bool) {}
func (noObserver) Abandoned(string)     {}
func (noObserver) Sent(string)          {}
func (noObserver) Heard(string)         {}
func (noObserver) Ended(string, bool)   {}

// Probe connects to an address, reports whether the connection holds until probeWait
// has passed or ctx ends, and then keeps it for the next exchange. It isn't observed.
func (p *Pool) Probe(ctx context.Context, address string) bool {
	c, err := p.connect(ctx, address)
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(probeWait):
	}
	if !c.reusable() {
		c.close()
		return false
	}
	p.putIdle(c)
	return true
}

// CloseAllIdle closes the idle connections to all addresses.
func (p *Pool) CloseAllIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeAllIdle()
}

// closeAllIdle does the same. The caller holds the mutex.
func (p *Pool) closeAllIdle() {
	for address, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, address)
	}
}
