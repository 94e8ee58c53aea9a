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

// ErrSilent tells that nothing came back on a connection for long; the next
// message uses a new one.
var ErrSilent = errors.New("connection is silent")

// Pipe sends messages of one kind in their order, without answers. What was
// sent may be lost with its connection. One goroutine uses it.
type Pipe struct {
	client *Client
	kind   string
	conn   *quic.Conn
	stream *quic.SendStream
}

// Pipe returns a pipe over the client's connection.
func (c *Client) Pipe(kind string) *Pipe {
	return &Pipe{client: c, kind: kind}
}

// Send sends one message.
func (p *Pipe) Send(ctx context.Context, message any) error {
	body, err := codec.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode %s: %w", p.kind, err)
	}
	if err := p.open(ctx); err != nil {
		return err
	}
	p.client.listen(p.conn)
	if err := p.write(ctx, envelope{Kind: p.kind, Body: body}); err != nil {
		conn := p.conn
		p.abandon()
		if !errors.Is(err, ErrTooLarge) {
			p.client.failed(ctx, conn)
		}
		return fmt.Errorf("send %s: %w", p.kind, err)
	}
	if p.client.silent(p.conn) {
		p.client.drop(p.conn)
		p.abandon()
		return fmt.Errorf("send %s: %w", p.kind, ErrSilent)
	}
	return nil
}

func (p *Pipe) open(ctx context.Context) error {
	conn, err := p.client.connect(ctx)
	if err != nil {
		return err
	}
	if conn == p.conn {
		return nil
	}
	p.abandon()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		p.client.failed(ctx, conn)
		return fmt.Errorf("open pipe: %w: %w", ErrUnsent, err)
	}
	p.conn, p.stream = conn, stream
	return nil
}

func (p *Pipe) write(ctx context.Context, e envelope) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = p.stream.SetWriteDeadline(deadline)
	}
	return writeFrame(p.stream, e)
}

// abandon gives up the stream: a frame may have been cut in the middle.
func (p *Pipe) abandon() {
	if p.stream != nil {
		p.stream.CancelWrite(1)
	}
	p.conn, p.stream = nil, nil
}

// acceptPipes serves the pipes of a connection until it ends.
func (s *Server) acceptPipes(ctx context.Context, name string, c *quic.Conn) {
	for {
		stream, err := c.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		s.group.Go(func() { s.take(ctx, name, stream) })
	}
}

// take hands the messages of a pipe to their handler, in order.
func (s *Server) take(ctx context.Context, name string, stream *quic.ReceiveStream) {
	defer stream.CancelRead(1)
	for s.takeOne(ctx, name, stream) {
	}
}

func (s *Server) takeOne(ctx context.Context, name string, stream *quic.ReceiveStream) bool {
	var held int64
	defer func() { s.pending.Add(-held) }()
	e, err := readFrame(stream, func(n int) bool {
		held = int64(n)
		return s.pending.Add(held) <= maxPending
	})
	var broken *quic.StreamError
	var ended *quic.IdleTimeoutError
	var closed *quic.ApplicationError
	switch {
	case err == nil:
	case errors.Is(err, io.EOF), errors.As(err, &broken), errors.As(err, &ended), errors.As(err, &closed):
		return false
	case errors.Is(err, errNoRoom):
		s.refuse("bytes")
		return false
	default:
		s.refuse("frame")
		return false
	}
	h, ok := s.handlers[e.Kind]
	if !ok {
		s.refuse("kind")
		return false
	}
	if peers, limited := s.allowed[e.Kind]; limited && !slices.Contains(peers, name) {
		s.refuse("peer")
		return false
	}
	if _, err := h(ctx, name, e.Body); err != nil {
		s.refuse("pipe")
	}
	return true
}
