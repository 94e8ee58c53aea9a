package link

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// socket is the UDP socket of one outgoing connection. It notes whether the peer has
// sent anything: a peer that is behind answers before it finishes a handshake, one
// that doesn't listen never does.
type socket struct {
	*net.UDPConn
	batch *ipv4.PacketConn
	heard atomic.Bool
}

var errNoAddress = errors.New("no local address")

// newSocket opens a socket at a local address, or at any if that is invalid or not this
// machine's.
func newSocket(from netip.Addr) (*socket, error) {
	var c *net.UDPConn
	err := errNoAddress
	if from.IsValid() {
		c, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0)))
	}
	if err != nil {
		c, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
	}
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	return &socket{UDPConn: c, batch: ipv4.NewPacketConn(c)}, nil
}

// ReadBatch replaces quic-go's own reads of the socket.
func (s *socket) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	n, err := s.batch.ReadBatch(messages, flags)
	if n > 0 && !s.heard.Load() {
		s.heard.Store(true)
	}
	return n, err //nolint:wrapcheck // quic-go compares it
}
