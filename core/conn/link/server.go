package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/meter"
)

type handler func(ctx context.Context, peer string, raw []byte) ([]byte, error)

// Server answers calls of other instances.
type Server struct {
	handlers map[string]handler
	meter    *meter.Registry
	listener *quic.Listener
	group    sync.WaitGroup
	stop     context.CancelFunc
}

// NewServer returns a server without handlers.
func NewServer(m *meter.Registry) *Server {
	return &Server{handlers: make(map[string]handler), meter: m}
}

// Listen starts to serve on a UDP address. All handlers must be registered
// before. The clean-up closes all connections and waits for the handlers.
func (s *Server) Listen(address string, config *tls.Config) (net.Addr, func(), error) {
	l, err := quic.ListenAddr(address, config, settings())
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.listener, s.stop = l, cancel
	s.group.Add(1)
	go s.accept(ctx)
	s.group.Go(func() { publish(ctx, s.meter) })
	return l.Addr(), s.close, nil
}

func (s *Server) close() {
	s.stop()
	_ = s.listener.Close()
	s.group.Wait()
}

func (s *Server) accept(ctx context.Context) {
	defer s.group.Done()
	for {
		c, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		s.group.Add(1)
		go s.serve(ctx, c)
	}
}

func (s *Server) serve(ctx context.Context, c *quic.Conn) {
	defer s.group.Done()
	defer func() { _ = c.CloseWithError(0, "closed") }()
	traffic.track(c)
	name := peer(c.ConnectionState().TLS)
	for {
		stream, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.group.Add(1)
		go s.answer(ctx, name, stream)
	}
}

func (s *Server) answer(ctx context.Context, name string, stream *quic.Stream) {
	defer s.group.Done()
	defer func() { _ = stream.Close() }()
	e, err := readFrame(stream)
	if err != nil {
		s.meter.Count("link", "refused", "frame")
		stream.CancelRead(1)
		return
	}
	h, ok := s.handlers[e.Kind]
	if !ok {
		s.meter.Count("link", "refused", "kind")
		_ = writeFrame(stream, envelope{Kind: e.Kind, Err: &Remote{Code: CodeKind, Detail: e.Kind}})
		return
	}
	body, err := h(ctx, name, e.Body)
	reply := envelope{Kind: e.Kind, Body: body}
	if err != nil {
		reply.Err = remote(err)
	}
	_ = writeFrame(stream, reply)
}

func remote(err error) *Remote {
	var r *Remote
	if errors.As(err, &r) {
		return r
	}
	return &Remote{Code: CodeInternal, Detail: err.Error()}
}
