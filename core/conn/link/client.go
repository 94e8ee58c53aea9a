package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/clock"
)

// silenceTimeout is how long a connection with waiting calls may go without a
// received packet before it counts as silent. An acknowledgement takes one
// round trip plus at most 25 ms. It grows while new connections go silent, too.
const silenceTimeout = 250 * time.Millisecond

var (
	errClosed     = errors.New("client closed")
	errUnanswered = errors.New("no packet from the peer")
	errUnfinished = errors.New("handshake not finished in time")
)

// Client calls the server at one address. It dials on first use, and again after
// the connection broke or went silent.
type Client struct {
	address string
	config  *tls.Config
	from    netip.Addr      // local address, invalid for any
	ctx     context.Context // cancelled when the client is closed
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mutex      sync.Mutex
	conn       *quic.Conn
	connected  time.Time // when conn was opened
	dialing    *dialAttempt
	redial     redial
	lastEnd    time.Time  // of an attempt or a connection
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
	return newClient(address, config, netip.Addr{}, maxDialPause)
}

// NewUrgentClient returns a client that waits less than others between two attempts to
// connect, for the few peers on which all others depend. It sends from an address of this
// machine, by which the peer may prefer it, unless that can't be had.
func NewUrgentClient(address string, config *tls.Config, from netip.Addr) (*Client, func()) {
	return newClient(address, config, from, maxUrgentPause)
}

func newClient(address string, config *tls.Config, from netip.Addr, maxPause time.Duration) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{address: address, config: config, from: from, ctx: ctx, cancel: cancel, redial: newRedial(maxPause)}
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
	c.forget(false)
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

// forget gives up the connection, if there is one. The mutex must be held.
func (c *Client) forget(silent bool) {
	if c.conn != nil {
		c.conn = nil
		c.redial.ended(time.Since(c.connected), silent)
		c.lastEnd = time.Now()
	}
}

func (c *Client) dial(a *dialAttempt) {
	conn, err := c.open()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dialing = nil
	if err == nil && c.ctx.Err() != nil {
		_ = conn.CloseWithError(0, "closed")
		err = errClosed
	}
	if err == nil {
		traffic.track(conn)
		c.conn, c.connected = conn, time.Now()
	}
	a.conn, a.err = conn, err
	close(a.done)
}

// open opens a connection. For a while it repeats attempts that aren't answered or that
// come too early for a busy peer.
func (c *Client) open() (*quic.Conn, error) {
	for began := time.Now(); ; {
		c.mutex.Lock()
		pause := c.redial.pause(rand.Float64(), time.Since(c.lastEnd))
		c.mutex.Unlock()
		clock.Sleep(c.ctx, pause)
		conn, err := c.attempt()
		r := resultOf(err)
		if again := r == dialUnanswered || r == dialRefused; !again || c.ctx.Err() != nil || time.Since(began) >= dialPeriod {
			return conn, err
		}
	}
}

// attempt makes one handshake. It is given up soon only if the peer doesn't answer at all:
// a slow peer would go on with it and begin another one in vain.
func (c *Client) attempt() (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", c.address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	s, err := newSocket(c.from)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	ctx, stop := context.WithTimeoutCause(ctx, dialTimeout, errUnfinished)
	defer stop()
	answer := time.AfterFunc(dialAnswerTimeout, func() {
		if !s.heard.Load() {
			cancel(errUnanswered)
		}
	})
	defer answer.Stop()
	conn, err := quic.Dial(ctx, s, address, c.config, quicConfig())
	c.record(resultOf(err))
	if err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	context.AfterFunc(conn.Context(), func() { _ = s.Close() })
	return conn, nil
}

// record records the result of an attempt.
func (c *Client) record(r dialResult) {
	dials.count(r)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastDial, c.lastEnd = r, time.Now()
	c.redial.attempted(r)
}

// drop closes a connection on which a call failed, so that the next call dials a
// new one instead of retrying on a silent connection.
func (c *Client) drop(conn *quic.Conn, silent bool) {
	c.mutex.Lock()
	if c.conn == conn {
		c.forget(silent)
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
	silent := c.isSilent(conn)
	if ctx.Err() == nil || silent {
		c.drop(conn, silent)
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

// isSilent reports whether calls have waited for the silence timeout without a packet
// arriving on conn.
func (c *Client) isSilent(conn *quic.Conn) bool {
	packets := conn.ConnectionStats().PacketsReceived
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inactivity.conn == conn && c.inactivity.packets == packets && time.Since(c.inactivity.since) >= c.redial.silenceTimeout()
}
