package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const dialTimeout = 2 * time.Second

// Client calls one address. It dials when first used and again after the
// connection broke.
type Client struct {
	address string
	config  *tls.Config

	mutex sync.Mutex
	conn  *quic.Conn
}

// NewClient returns a client for a UDP address and its clean-up.
func NewClient(address string, config *tls.Config) (*Client, func()) {
	c := &Client{address: address, config: config}
	return c, c.close
}

// Address returns the address that the client calls.
func (c *Client) Address() string {
	return c.address
}

func (c *Client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "closed")
		c.conn = nil
	}
}

func (c *Client) connect(ctx context.Context) (*quic.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, c.address, c.config, settings())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", c.address, ErrUnsent, err)
	}
	traffic.track(conn)
	c.conn = conn
	return conn, nil
}

// drop forgets a connection that failed a call, so that the next call uses a
// new one: a silent connection must not be tried again.
func (c *Client) drop(conn *quic.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.CloseWithError(0, "dropped")
}

func (c *Client) call(ctx context.Context, e envelope) ([]byte, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.drop(conn)
		return nil, fmt.Errorf("open stream: %w: %w", ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(1)
		stream.CancelRead(1)
	})
	defer stop()
	if err := writeFrame(stream, e); err != nil {
		c.drop(conn)
		return nil, err
	}
	_ = stream.Close()
	reply, err := readFrame(stream)
	if err != nil {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("wait for reply: %w", ctx.Err())
		}
		c.drop(conn)
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	return reply.Body, nil
}
