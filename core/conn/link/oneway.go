package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/codec"
)

// ErrSilent means that calls or sends have waited too long without a packet from
// the peer. The next message uses a new connection.
var ErrSilent = errors.New("connection is silent")

// OneWayStream sends messages of one kind in order and without replies. Messages
// sent earlier may be lost if their connection breaks. It isn't safe for concurrent
// use.
type OneWayStream struct {
	client *Client
	kind   string
	conn   *quic.Conn
	stream *quic.SendStream
}

// OneWayStream returns a one-way stream over the client's connection. The stream
// is opened by the first Send.
func (c *Client) OneWayStream(kind string) *OneWayStream {
	return &OneWayStream{client: c, kind: kind}
}

// Send sends one message.
func (p *OneWayStream) Send(ctx context.Context, message any) error {
	body, err := codec.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode %s: %w", p.kind, err)
	}
	if err := p.ensureOpen(ctx); err != nil {
		return err
	}
	p.client.startInactivity(p.conn)
	if err := p.write(ctx, envelope{Kind: p.kind, Body: body}); err != nil {
		conn := p.conn
		p.reset()
		if !errors.Is(err, ErrTooLarge) {
			p.client.handleFailure(ctx, conn)
		}
		return fmt.Errorf("send %s: %w", p.kind, err)
	}
	if p.client.isSilent(p.conn) {
		p.client.drop(p.conn, true)
		p.reset()
		return fmt.Errorf("send %s: %w", p.kind, ErrSilent)
	}
	return nil
}

func (p *OneWayStream) ensureOpen(ctx context.Context) error {
	conn, err := p.client.connect(ctx)
	if err != nil {
		return err
	}
	if conn == p.conn {
		return nil
	}
	p.reset()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		p.client.handleFailure(ctx, conn)
		return fmt.Errorf("open one-way stream: %w: %w", ErrNotSent, err)
	}
	p.conn, p.stream = conn, stream
	return nil
}

func (p *OneWayStream) write(ctx context.Context, e envelope) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = p.stream.SetWriteDeadline(deadline)
	}
	return writeFrame(p.stream, e)
}

// reset cancels the stream, since a frame may have been written only in part.
func (p *OneWayStream) reset() {
	if p.stream != nil {
		p.stream.CancelWrite(1)
	}
	p.conn, p.stream = nil, nil
}

// acceptOneWayStreams serves the one-way streams of a connection until it ends.
func (s *Server) acceptOneWayStreams(ctx context.Context, peer string, c *quic.Conn) {
	for {
		stream, err := c.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		s.group.Go(func() { s.serveOneWayStream(ctx, peer, stream) })
	}
}

// serveOneWayStream passes the messages of a one-way stream to their handlers, in
// order.
func (s *Server) serveOneWayStream(ctx context.Context, peer string, stream *quic.ReceiveStream) {
	defer stream.CancelRead(1)
	for s.handleNextMessage(ctx, peer, stream) {
	}
}

func (s *Server) handleNextMessage(ctx context.Context, peer string, stream *quic.ReceiveStream) bool {
	var reserved int64
	defer func() { s.pendingBytes.Add(-reserved) }()
	e, err := readFrame(stream, func(n int) bool {
		reserved = int64(n)
		return s.pendingBytes.Add(reserved) <= maxPendingBytes
	})
	var streamErr *quic.StreamError
	var idleErr *quic.IdleTimeoutError
	var appErr *quic.ApplicationError
	switch {
	case err == nil:
	case errors.Is(err, io.EOF), errors.As(err, &streamErr), errors.As(err, &idleErr), errors.As(err, &appErr):
		return false
	case errors.Is(err, errPendingLimit):
		s.countRefusal("bytes")
		return false
	default:
		s.countRefusal("frame")
		return false
	}
	handle, ok := s.handlers[e.Kind]
	if !ok {
		s.countRefusal("kind")
		return false
	}
	if peers, limited := s.allowed[e.Kind]; limited && !slices.Contains(peers, peer) {
		s.countRefusal("peer")
		return false
	}
	if _, err := handle(ctx, peer, e.Body); err != nil {
		s.countRefusal("pipe")
	}
	return true
}
