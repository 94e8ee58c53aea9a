package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// dialTimeouts are those of the handshakes of one dial, one after the other.
var dialTimeouts = []time.Duration{250 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second}

const (
	// silenceTimeout is how long a connection with waiting calls may go without a
	// received packet before it counts as silent. An acknowledgement takes one
	// round trip plus at most 25 ms.
	silenceTimeout = 250 * time.Millisecond
)

var errClosed = errors.New("client closed")

// Client calls the server at one address. It dials on first use, and again after
// the connection broke or went silent.
type Client struct {
	address string
	config  *tls.Config
	ctx     context.Context // cancelled when the client is closed
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mutex      sync.Mutex
	conn       *quic.Conn
	dialing    *dialAttempt
	lastDial   dialResult // of the last attempt, "" before the first ended
	inactivity inactivePeriod
}

// dialAttempt is a dial in progress, shared by all calls that wait for it.
type dialAttempt struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// NewClient returns a client for a UDP address, and a function that closes it.
func NewClient(address string, config *tls.Config) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{address: address, config: config, ctx: ctx, cancel: cancel}
	return c, c.close
}

// Address returns the server address.
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

// connect returns the open connection or waits for a dial, but no longer than
// ctx allows: an unreachable peer delays no call beyond its own deadline.
func (c *Client) connect(ctx context.Context) (*quic.Conn, error) {
	conn, a := c.current() //nolint:contextcheck // the dial is shared by all waiting calls and may outlive this one
	if a == nil {
		return conn, nil
	}
	select {
	case <-a.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w: %w (last attempt: %s)", c.address, ErrNotSent, ctx.Err(), c.lastResult())
	}
	if a.err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", c.address, ErrNotSent, a.err)
	}
	return a.conn, nil
}

// lastResult returns the result of the last attempt to connect.
func (c *Client) lastResult() dialResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return cmp.Or(c.lastDial, "none ended")
}

// current returns the open connection, or the dial in progress, which it starts if
// there is none.
func (c *Client) current() (*quic.Conn, *dialAttempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	if c.dialing != nil {
		return nil, c.dialing
	}
	a := &dialAttempt{done: make(chan struct{})}
	if c.ctx.Err() != nil {
		a.err = errClosed
		close(a.done)
		return nil, a
	}
	c.dialing = a
	c.group.Go(func() { c.dial(a) })
	return nil, a
}

func (c *Client) dial(a *dialAttempt) {
	conn, err := c.handshake()
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

// handshake opens a connection. It starts anew if the peer doesn't answer soon:
// QUIC repeats its first packet at growing intervals, so a peer that begins to
// listen a moment after that packet would be reached a second later.
func (c *Client) handshake() (*quic.Conn, error) {
	var conn *quic.Conn
	var err error
	for _, timeout := range dialTimeouts {
		conn, err = c.attempt(timeout)
		if err == nil || c.ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			break
		}
	}
	return conn, err //nolint:wrapcheck // wrapped by connect
}

// attempt makes one handshake.
func (c *Client) attempt(timeout time.Duration) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", c.address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	s, err := newSocket()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	conn, err := quic.Dial(ctx, s, address, c.config, quicConfig())
	r := resultOf(err, s.heard.Load())
	dials.count(r)
	c.mutex.Lock()
	c.lastDial = r
	c.mutex.Unlock()
	if err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("%s: %w", r, err)
	}
	context.AfterFunc(conn.Context(), func() { _ = s.Close() })
	return conn, nil
}

// drop closes a connection on which a call failed, so that the next call dials a
// new one instead of retrying on a silent connection.
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
	c.startInactivity(conn)
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.handleFailure(ctx, conn)
		return nil, fmt.Errorf("open stream: %w: %w", ErrNotSent, err)
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
		c.handleFailure(ctx, conn)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("wait for reply: %w", ctx.Err())
		}
		return nil, err
	}
	c.endInactivity(conn)
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
	return readFrame(stream, admitAll)
}

// handleFailure drops the connection of a failed call unless only the call's
// deadline passed and the connection isn't silent. A timeout alone may mean a slow
// handler, but a live peer acknowledges each request at once, so a connection
// with waiting calls and no incoming packets is dead. A packet already in flight
// when the path failed can hide this from one call, but not from the next.
func (c *Client) handleFailure(ctx context.Context, conn *quic.Conn) {
	if ctx.Err() == nil || c.isSilent(conn) {
		c.drop(conn)
	}
}

// inactivePeriod is a period in which calls waited on a connection and no packet
// arrived.
type inactivePeriod struct {
	conn    *quic.Conn
	packets uint64 // received on the connection when the period began
	since   time.Time
}

// startInactivity starts an inactive period unless one is already running.
func (c *Client) startInactivity(conn *quic.Conn) {
	packets := conn.ConnectionStats().PacketsReceived
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inactivity.conn != conn || c.inactivity.packets != packets {
		c.inactivity = inactivePeriod{conn: conn, packets: packets, since: time.Now()}
	}
}

// endInactivity ends the inactive period after a reply arrived.
func (c *Client) endInactivity(conn *quic.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inactivity.conn == conn {
		c.inactivity = inactivePeriod{}
	}
}

// isSilent reports whether calls have waited for silenceTimeout without a packet
// arriving on conn.
func (c *Client) isSilent(conn *quic.Conn) bool {
	packets := conn.ConnectionStats().PacketsReceived
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inactivity.conn == conn && c.inactivity.packets == packets && time.Since(c.inactivity.since) >= silenceTimeout
}
