package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	dialTimeout = 2 * time.Second
	// silentAfter is the time without a packet, while calls wait, after which
	// a connection counts as silent. Acknowledgements take a round trip and
	// at most 25 ms.
	silentAfter = 250 * time.Millisecond
)

var errClosed = errors.New("client closed")

// Client calls one address. It dials when first used and again after the
// connection broke or went silent.
type Client struct {
	address string
	config  *tls.Config
	ctx     context.Context // ends with the client
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mutex   sync.Mutex
	conn    *quic.Conn
	dialing *attempt
	quiet   quiet
}

// attempt is a dial that several calls may wait for.
type attempt struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// NewClient returns a client for a UDP address and its clean-up.
func NewClient(address string, config *tls.Config) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{address: address, config: config, ctx: ctx, cancel: cancel}
	return c, c.close
}

// Address returns the address that the client calls.
func (c *Client) Address() string {
	return c.address
}

func (c *Client) close() {
	c.mutex.Lock()
	c.cancel()
	conn := c.conn
	c.conn = nil
	c.mutex.Unlock()
	c.group.Wait()
	if conn != nil {
		_ = conn.CloseWithError(0, "closed")
	}
}

// connect returns the open connection or waits for a new one, no longer than
// ctx lasts: a peer that can't be reached holds up nobody beyond its own time.
func (c *Client) connect(ctx context.Context) (*quic.Conn, error) {
	conn, a := c.current() //nolint:contextcheck // the dial serves all calls that wait and outlasts this one
	if a == nil {
		return conn, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w: %w", c.address, ErrUnsent, ctx.Err())
	}
	if a.err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", c.address, ErrUnsent, a.err)
	}
	return a.conn, nil
}

// current returns the open connection, or the dial that makes one.
func (c *Client) current() (*quic.Conn, *attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	if c.dialing != nil {
		return nil, c.dialing
	}
	a := &attempt{done: make(chan struct{})}
	if c.ctx.Err() != nil {
		a.err = errClosed
		close(a.done)
		return nil, a
	}
	c.dialing = a
	c.group.Go(func() { c.dial(a) })
	return nil, a
}

func (c *Client) dial(a *attempt) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, c.address, c.config, settings())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dialing = nil
	if err == nil && c.ctx.Err() != nil {
		_ = conn.CloseWithError(0, "closed")
		err = errClosed
	}
	if err == nil {
		traffic.track(conn)
		c.conn = conn
	}
	a.conn, a.err = conn, err
	close(a.done)
}

// drop forgets a connection that failed a call, so that the next call uses a
// new one: a silent connection must not be tried again.
func (c *Client) drop(conn *quic.Conn) {
	c.mutex.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mutex.Unlock()
	_ = conn.CloseWithError(0, "dropped")
}

func (c *Client) call(ctx context.Context, e envelope) ([]byte, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	c.listen(conn)
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.failed(ctx, conn)
		return nil, fmt.Errorf("open stream: %w: %w", ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(1)
		stream.CancelRead(1)
	})
	defer stop()
	reply, err := exchange(stream, e)
	switch {
	case errors.Is(err, ErrTooLarge):
		stream.CancelWrite(1)
		stream.CancelRead(1)
		return nil, err
	case err != nil:
		c.failed(ctx, conn)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("wait for reply: %w", ctx.Err())
		}
		return nil, err
	}
	c.heard(conn)
	if reply.Err != nil {
		return nil, reply.Err
	}
	return reply.Body, nil
}

func exchange(stream *quic.Stream, e envelope) (envelope, error) {
	if err := writeFrame(stream, e); err != nil {
		return envelope{}, err
	}
	_ = stream.Close()
	return readFrame(stream, unbounded)
}

// failed decides what a failed call means for its connection. A call that ran
// out of time may only have had a slow handler; but a peer that is there
// acknowledges each request at once, so a connection on which calls wait and
// no packet arrives is silent and is thrown away. A packet that was on its way
// when the path went silent hides this from one call, not from the next.
func (c *Client) failed(ctx context.Context, conn *quic.Conn) {
	if ctx.Err() == nil || c.silent(conn) {
		c.drop(conn)
	}
}

// quiet is a stretch in which calls waited on a connection and nothing arrived.
type quiet struct {
	conn    *quic.Conn
	packets uint64 // received when the stretch began
	since   time.Time
}

// listen begins a stretch unless one goes on.
func (c *Client) listen(conn *quic.Conn) {
	packets := conn.ConnectionStats().PacketsReceived
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.quiet.conn != conn || c.quiet.packets != packets {
		c.quiet = quiet{conn: conn, packets: packets, since: time.Now()}
	}
}

// heard ends the stretch: a reply arrived.
func (c *Client) heard(conn *quic.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.quiet.conn == conn {
		c.quiet = quiet{}
	}
}

func (c *Client) silent(conn *quic.Conn) bool {
	packets := conn.ConnectionStats().PacketsReceived
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.quiet.conn == conn && c.quiet.packets == packets && time.Since(c.quiet.since) >= silentAfter
}
