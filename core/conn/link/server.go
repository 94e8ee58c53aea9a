package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

// Limits of a server, over all its connections.
const (
	maxCalls        = 8192      // concurrent calls
	maxPendingBytes = 256 << 20 // bytes of requests being read or handled
	// readTimeout is the maximum time to read the request frame of a call.
	readTimeout = 10 * time.Second
)

type handler func(ctx context.Context, peer string, raw []byte) ([]byte, error)

// Server handles calls from other instances.
type Server struct {
	handlers     map[string]handler
	allowed      map[string][]string // peer names by message kind; a kind without an entry allows all peers
	preferred    func(netip.Addr) bool
	gate         gate
	meter        *meter.Registry
	activeCalls  atomic.Int64
	pendingBytes atomic.Int64 // of requests being read or handled
	listener     *quic.Listener
	transport    *quic.Transport
	group        sync.WaitGroup
	cancel       context.CancelFunc
}

// NewServer returns a server without handlers.
func NewServer(m *meter.Registry) *Server {
	return &Server{handlers: make(map[string]handler), allowed: make(map[string][]string), meter: m}
}

// Allow restricts a message kind to peers with the given certificate names. Like
// handlers, restrictions must be set before Listen.
func (s *Server) Allow(kind string, peers ...string) {
	s.allowed[kind] = append(s.allowed[kind], peers...)
}

// Listen starts serving on a UDP address. All handlers must be registered
// beforehand. The returned function closes all connections and waits for the
// handlers.
func (s *Server) Listen(address string, config *tls.Config) (net.Addr, func(), error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	// quic.ListenAddr's own transport holds the socket for a while after the
	// listener was closed; a separate one frees the address at once.
	s.transport = &quic.Transport{Conn: socket, VerifySourceAddress: s.mustValidate, ConnContext: s.beginHandshake}
	l, err := s.transport.Listen(s.countRefusedHandshakes(config), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.listener, s.cancel = l, cancel
	s.group.Go(func() { s.acceptConns(ctx) })
	s.group.Go(func() { publishTraffic(ctx, s.meter) })
	return l.Addr(), s.close, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	return c, nil
}

// countRefusedHandshakes returns a copy of the configuration that counts refused
// handshakes by reason.
func (s *Server) countRefusedHandshakes(config *tls.Config) *tls.Config {
	counted := config.Clone()
	verify := config.VerifyConnection
	if verify == nil {
		return counted
	}
	counted.VerifyConnection = func(c tls.ConnectionState) error {
		err := verify(c)
		if err != nil {
			reason := keys.ReasonInvalid
			var refused *keys.VerificationError
			if errors.As(err, &refused) {
				reason = refused.Reason()
			}
			s.countRefusal("tls_" + string(reason))
		}
		return err
	}
	return counted
}

func (s *Server) countRefusal(reason string) {
	s.meter.Count("link", "refused", reason)
}

func (s *Server) close() {
	s.cancel()
	_ = s.listener.Close()
	s.group.Wait()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
}

func (s *Server) acceptConns(ctx context.Context) {
	for {
		c, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		if h, ok := c.Context().Value(handshakeKey{}).(*handshake); ok {
			s.endHandshake(h, "completed")
		}
		s.group.Go(func() { s.serveConn(ctx, c) })
	}
}

func (s *Server) serveConn(ctx context.Context, c *quic.Conn) {
	defer func() { _ = c.CloseWithError(0, "closed") }()
	traffic.track(c)
	peer := peerName(c.ConnectionState().TLS)
	if peer == "" {
		// The TLS configuration already refuses a certificate without a name;
		// this also covers a configuration that doesn't.
		s.countRefusal("tls_" + string(keys.ReasonNotInstance))
		return
	}
	s.group.Go(func() { s.acceptOneWayStreams(ctx, peer, c) })
	for {
		stream, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.group.Go(func() { s.serveCall(ctx, peer, stream) })
	}
}

func (s *Server) serveCall(ctx context.Context, peer string, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	if s.activeCalls.Add(1) > maxCalls {
		s.activeCalls.Add(-1)
		s.reject(stream, "", "calls", CodeOverloaded)
		return
	}
	defer s.activeCalls.Add(-1)
	var reserved int64
	defer func() { s.pendingBytes.Add(-reserved) }()
	_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
	e, err := readFrame(stream, func(n int) bool {
		reserved = int64(n)
		return s.pendingBytes.Add(reserved) <= maxPendingBytes
	})
	if err != nil {
		s.rejectUnreadable(stream, err)
		return
	}
	handle, ok := s.handlers[e.Kind]
	if !ok {
		s.reject(stream, e.Kind, "kind", CodeUnknownKind)
		return
	}
	if peers, limited := s.allowed[e.Kind]; limited && !slices.Contains(peers, peer) {
		s.reject(stream, e.Kind, "peer", CodeNotAllowed)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stream.Context(), cancel)() //nolint:contextcheck // ends with the caller
	body, err := handle(ctx, peer, e.Body)
	reply := envelope{Kind: e.Kind, Body: body}
	if err != nil {
		reply.Err = toRemoteError(err)
	}
	if err := writeFrame(stream, reply); errors.Is(err, ErrTooLarge) {
		s.reject(stream, e.Kind, "reply", CodeInternal)
	}
}

// rejectUnreadable ends a call whose request could not be read.
func (s *Server) rejectUnreadable(stream *quic.Stream, err error) {
	stream.CancelRead(1)
	if errors.Is(err, errPendingLimit) {
		s.reject(stream, "", "bytes", CodeOverloaded)
		return
	}
	s.countRefusal("frame")
	stream.CancelWrite(1)
}

// reject counts a refusal and sends its code to the peer.
func (s *Server) reject(stream *quic.Stream, kind, reason, code string) {
	s.countRefusal(reason)
	stream.CancelRead(1)
	_ = writeFrame(stream, envelope{Kind: kind, Err: &RemoteError{Code: code, Detail: kind}})
}

func toRemoteError(err error) *RemoteError {
	var r *RemoteError
	if errors.As(err, &r) {
		return r
	}
	return &RemoteError{Code: CodeInternal, Detail: err.Error()}
}
