package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/quic-go/quic-go"
)

const (
	// maxHandshakes bounds the handshakes that a server works on at a time. They are few
	// enough that one with a fraction of a processor finishes them before their clients
	// give up, and its established connections wait for milliseconds only. quic-go drops
	// finished ones beyond 32 that wait to be accepted.
	maxHandshakes = 16
	// maxPreferredHandshakes is the same for preferred peers, in addition.
	maxPreferredHandshakes = 8
	// freeHandshakes is the number in progress from which a client must first show that
	// it still waits. Its packets may have waited for longer than it did.
	freeHandshakes = 2
)

var errBusy = errors.New("too many handshakes")

// gate bounds the handshakes in progress at a server. Many clients connect at once when a
// server starts, or begins to lead: the excess is turned away before any cryptography, and
// comes again after a pause.
type gate struct {
	mutex     sync.Mutex
	others    int
	preferred int
}

// busy reports whether clients must show that they still wait.
func (g *gate) busy() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.others+g.preferred >= freeHandshakes
}

// enter begins a handshake if there is room, and returns a function that ends it.
func (g *gate) enter(preferred bool) (leave func(), ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := &g.others
	if preferred && g.preferred < maxPreferredHandshakes {
		count = &g.preferred
	} else if g.others >= maxHandshakes {
		return nil, false
	}
	*count++
	return func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		*count--
	}, true
}

// Prefer makes the server keep room for handshakes of peers with some addresses, such as
// the other voters, beside those of all others. Like handlers it must be set before Listen.
func (s *Server) Prefer(preferred func(netip.Addr) bool) { s.preferred = preferred }

func (s *Server) prefers(address net.Addr) bool {
	u, ok := address.(*net.UDPAddr)
	return ok && s.preferred != nil && s.preferred(u.AddrPort().Addr().Unmap())
}

// mustValidate makes quic-go answer with a Retry packet, which costs next to nothing, while
// handshakes are in progress: work on one whose client has given up would be wasted.
func (s *Server) mustValidate(net.Addr) bool {
	busy := s.gate.busy()
	if busy {
		s.meter.Count("link", "handshakes", "validated")
	}
	return busy
}

// beginHandshake admits or refuses a connection, and counts handshakes by result.
func (s *Server) beginHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	leave, ok := s.gate.enter(s.prefers(info.RemoteAddr))
	if !ok {
		s.countRefusal("handshakes")
		return nil, errBusy
	}
	s.meter.Count("link", "handshakes", "begun")
	h := &handshake{leave: leave}
	ctx = context.WithValue(ctx, handshakeKey{}, h)
	context.AfterFunc(ctx, func() { s.endHandshake(h, "lost") })
	return ctx, nil
}

func (s *Server) endHandshake(h *handshake, result string) {
	h.once.Do(func() {
		h.leave()
		s.meter.Count("link", "handshakes", result)
	})
}

// handshake is a connection's handshake, kept in its context.
type handshake struct {
	once  sync.Once
	leave func()
}

type handshakeKey struct{}
