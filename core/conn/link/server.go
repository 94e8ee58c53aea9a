package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

// Bounds of a server, for all its connections together.
const (
	maxCalls   = 8192      // calls at once
	maxPending = 256 << 20 // bytes of requests that are being read or handled
	// readTimeout is the longest time for the request frame of a call.
	readTimeout = 10 * time.Second
)

type handler func(ctx context.Context, peer string, raw []byte) ([]byte, error)

// Server answers calls of other instances.
type Server struct {
	handlers  map[string]handler
	allowed   map[string][]string // peers by kind; no entry allows all
	meter     *meter.Registry
	calls     atomic.Int64
	pending   atomic.Int64 // bytes
	listener  *quic.Listener
	transport *quic.Transport
	group     sync.WaitGroup
	stop      context.CancelFunc
}

// NewServer returns a server without handlers.
func NewServer(m *meter.Registry) *Server {
	return &Server{handlers: make(map[string]handler), allowed: make(map[string][]string), meter: m}
}

// Allow restricts a kind of message to peers with the given names in their
// certificates. Like handlers, restrictions are set before Listen.
func (s *Server) Allow(kind string, peers ...string) {
	s.allowed[kind] = append(s.allowed[kind], peers...)
}

// Listen starts to serve on a UDP address. All handlers must be registered
// before. The clean-up closes all connections and waits for the handlers.
func (s *Server) Listen(address string, config *tls.Config) (net.Addr, func(), error) {
	socket, err := listenUDP(address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	// A transport of its own: that of quic.ListenAddr keeps the socket for a
	// while after the server was closed.
	s.transport = &quic.Transport{Conn: socket}
	l, err := s.transport.Listen(s.counted(config), settings())
	if err != nil {
		_ = socket.Close()
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.listener, s.stop = l, cancel
	s.group.Go(func() { s.accept(ctx) })
	s.group.Go(func() { publish(ctx, s.meter) })
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

// counted returns the configuration with a counter for each reason of a
// refused handshake.
func (s *Server) counted(config *tls.Config) *tls.Config {
	counted := config.Clone()
	verify := config.VerifyConnection
	if verify == nil {
		return counted
	}
	counted.VerifyConnection = func(c tls.ConnectionState) error {
		err := verify(c)
		if err != nil {
			reason := keys.ReasonBad
			var refused *keys.Refused
			if errors.As(err, &refused) {
				reason = refused.Reason()
			}
			s.refuse("tls_" + string(reason))
		}
		return err
	}
	return counted
}

func (s *Server) refuse(reason string) {
	s.meter.Count("link", "refused", reason)
}

func (s *Server) close() {
	s.stop()
	_ = s.listener.Close()
	s.group.Wait()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
}

func (s *Server) accept(ctx context.Context) {
	for {
		c, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		s.group.Go(func() { s.serve(ctx, c) })
	}
}

func (s *Server) serve(ctx context.Context, c *quic.Conn) {
	defer func() { _ = c.CloseWithError(0, "closed") }()
	traffic.track(c)
	name := peer(c.ConnectionState().TLS)
	if name == "" {
		// Handshakes without a name are refused before; this holds even for
		// a configuration that forgets to.
		s.refuse("tls_" + string(keys.ReasonName))
		return
	}
	s.group.Go(func() { s.acceptPipes(ctx, name, c) })
	for {
		stream, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.group.Go(func() { s.answer(ctx, name, stream) })
	}
}

func (s *Server) answer(ctx context.Context, name string, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	if s.calls.Add(1) > maxCalls {
		s.calls.Add(-1)
		s.reject(stream, "", "calls", CodeFull)
		return
	}
	defer s.calls.Add(-1)
	var held int64
	defer func() { s.pending.Add(-held) }()
	_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
	e, err := readFrame(stream, func(n int) bool {
		held = int64(n)
		return s.pending.Add(held) <= maxPending
	})
	if err != nil {
		s.unread(stream, err)
		return
	}
	h, ok := s.handlers[e.Kind]
	if !ok {
		s.reject(stream, e.Kind, "kind", CodeKind)
		return
	}
	if peers, limited := s.allowed[e.Kind]; limited && !slices.Contains(peers, name) {
		s.reject(stream, e.Kind, "peer", CodeDenied)
		return
	}
	body, err := h(ctx, name, e.Body)
	reply := envelope{Kind: e.Kind, Body: body}
	if err != nil {
		reply.Err = remote(err)
	}
	if err := writeFrame(stream, reply); errors.Is(err, ErrTooLarge) {
		s.reject(stream, e.Kind, "reply", CodeInternal)
	}
}

// unread ends a call whose request couldn't be read.
func (s *Server) unread(stream *quic.Stream, err error) {
	stream.CancelRead(1)
	if errors.Is(err, errNoRoom) {
		s.reject(stream, "", "bytes", CodeFull)
		return
	}
	s.refuse("frame")
	stream.CancelWrite(1)
}

// reject counts a refusal and tells the caller its code.
func (s *Server) reject(stream *quic.Stream, kind, reason, code string) {
	s.refuse(reason)
	stream.CancelRead(1)
	_ = writeFrame(stream, envelope{Kind: kind, Err: &Remote{Code: code, Detail: kind}})
}

func remote(err error) *Remote {
	var r *Remote
	if errors.As(err, &r) {
		return r
	}
	return &Remote{Code: CodeInternal, Detail: err.Error()}
}
