package link

import (
	"errors"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/meter"
)

// dialResult is the result of an attempt to connect to a peer.
type dialResult string

const (
	dialConnected  dialResult = "connected"
	dialUnanswered dialResult = "unanswered" // not a single packet arrived
	dialUnfinished dialResult = "unfinished" // the peer answered, but the handshake took too long
	dialRefused    dialResult = "refused"    // the peer takes no connections now
	dialFailed     dialResult = "failed"     // for instance for its certificate
)

// resultOf returns the result of an attempt that ended with err.
func resultOf(err error) dialResult {
	var refused *quic.TransportError
	var idle *quic.IdleTimeoutError
	var slow *quic.HandshakeTimeoutError
	switch {
	case err == nil:
		return dialConnected
	case errors.Is(err, errUnanswered):
		return dialUnanswered
	case errors.As(err, &refused) && refused.ErrorCode == quic.ConnectionRefused:
		return dialRefused
	case errors.Is(err, errUnfinished), errors.As(err, &idle), errors.As(err, &slow):
		return dialUnfinished
	default:
		return dialFailed
	}
}

// dials counts the attempts of all clients of the process by result.
var dials = dialCounter{
	dialConnected: new(atomic.Int64), dialUnanswered: new(atomic.Int64), dialUnfinished: new(atomic.Int64),
	dialRefused: new(atomic.Int64), dialFailed: new(atomic.Int64),
}

type dialCounter map[dialResult]*atomic.Int64

func (d dialCounter) count(r dialResult) { d[r].Add(1) }

func (d dialCounter) publish(m *meter.Registry) {
	for r, n := range d {
		m.Set(n.Load(), "link", "dials", string(r))
	}
}
