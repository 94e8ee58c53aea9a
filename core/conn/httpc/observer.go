package httpc

import (
	"context"
	"io"
)

// Observer is told what happens to the connections of a pool, by server address.
// It must be safe for concurrent use.
type Observer interface {
	// Dialling reports that an attempt to connect for an exchange begins, and one of
	// the next two that it ended. It succeeded once bytes arrived, since a network
	// that refuses a server's address may accept and reset connections. It was
	// Abandoned if the exchange ended before.
	Dialling(address string)
	Dialled(address string, ok bool)
	Abandoned(address string)
	// Sent reports that a request is written and waits for its response.
	Sent(address string)
	// Heard reports that bytes of a response arrived.
	Heard(address string)
	// Ended reports that an exchange that was Sent ended; lost means that its
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

// Probe sends a request over a new connection, reports whether any response arrives
// before ctx ends, and then keeps the connection for the next exchange. A connection
// alone shows nothing: a network that refuses a server's address may accept it, and
// then reset it or stay silent. A probe isn't observed.
func (p *Pool) Probe(ctx context.Context, address string, r *Request) bool {
	c, err := p.connect(ctx, address)
	if err != nil {
		return false
	}
	a, err := c.do(ctx, r, noObserver{})
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxUnmatchedBody)) // so that the connection is kept
	_ = a.Body.Close()
	return true
}

// closeAllIdle closes the idle connections to all addresses. The caller holds the mutex.
func (p *Pool) closeAllIdle() {
	for address, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, address)
	}
}
