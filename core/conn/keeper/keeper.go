// Package keeper is the client of the consensus group: the keeper instances
// that replicate the system's state. It discovers the group's leader, follows
// leader changes and retries idempotent calls.
package keeper

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/pace"
	"verbenahaven.example/core/version/state"
)

const (
	attemptTimeout = time.Second
	skipPeriod     = time.Second // how long an unresponsive keeper isn't tried
	// minRetryPause is the mean pause after the first failed attempt of a call, and
	// maxRetryPause the limit to which it grows: while there is no leader, 1,000 instances ask
	// 4,000 times a second together.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
	// maxAsks is how often in a row a keeper is asked that knows no leader. It learns of a
	// new one as soon as others do, unless it is cut off from them.
	maxAsks = 4
)

// ErrNoLeader reports that no leader answered before the context ended. A call
// that changes state may still have taken effect; all such calls are
// idempotent.
var ErrNoLeader = errors.New("no leader answered")

// errNoKeepers reports that no keeper is known: the settings name none so far.
var errNoKeepers = errors.New("no keeper is known")

// Client implements proto.Keeper with calls to the leader.
type Client struct {
	config  *tls.Config
	dynamic bool // keepers are named by address, and the group may grow beyond the seeds

	mutex     sync.Mutex
	seeds     []string // keepers that the settings name
	members   []string // keepers that were told to be members of the log
	turn      int      // position in members of the one that is named next
	names     []string // keepers to try, in round-robin order
	clients   map[string]*link.Client
	cleanups  []func()
	leader    string
	next      int                  // position in names
	asks      int                  // times in a row that the keeper at that position knew no leader
	skipUntil map[string]time.Time // unresponsive keepers aren't tried before this time
	hinted    bool                 // the last failed attempt named a leader
	known     func() string        // names the leader as far as this process knows, nil if it can't
	deposed   string               // keeper that said so although known names it
	backoff   pace.Backoff         // of the attempts of all calls
	failure   error                // of the last failed attempt

	search chan struct{} // holds the place of the call that looks for the leader
}

var _ proto.Keeper = (*Client)(nil)

// New returns a client for a fixed group of keepers, given as link addresses by
// name, and its clean-up.
func New(addresses map[string]string, config *tls.Config) (*Client, func()) {
	c := newClient(config)
	for name, address := range addresses {
		c.add(name, address)
		c.seeds = append(c.seeds, name)
	}
	return c, c.close
}

// OpenDynamic returns a client for a group whose keepers are named by their
// link addresses, and its clean-up. It starts with the seeds and follows
// leaders that aren't among them.
func OpenDynamic(seeds []string, config *tls.Config) (*Client, func()) {
	c := newClient(config)
	c.dynamic, c.seeds = true, slices.Clone(seeds)
	for _, address := range seeds {
		c.add(address, address)
	}
	return c, c.close
}

// newClient returns a client without keepers. Clients begin at different ones, so that those
// of a fleet don't all ask the same keeper first.
func newClient(config *tls.Config) *Client {
	return &Client{
		config: config, clients: make(map[string]*link.Client), next: rand.IntN(math.MaxInt32),
		skipUntil: make(map[string]time.Time), backoff: pace.NewBackoff(minRetryPause, maxRetryPause),
		search: make(chan struct{}, 1),
	}
}

// add creates the link client of a keeper unless it exists.
func (c *Client) add(name, address string) {
	if _, known := c.clients[name]; known {
		return
	}
	l, cleanup := link.NewClient(address, c.config)
	c.clients[name] = l
	c.names = append(c.names, name)
	c.cleanups = append(c.cleanups, cleanup)
}

func (c *Client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, f := range c.cleanups {
		f()
	}
}

func (c *Client) client(name string) *link.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clients[name]
}

// Publish publishes a routing table through the leader.
func (c *Client) Publish(ctx context.Context, r proto.PublishRequest) (proto.PublishReply, error) {
	return callLeader[proto.PublishRequest, proto.PublishReply](ctx, c, proto.KindPublish, r)
}

// Routing reads the latest routing table from the leader.
func (c *Client) Routing(ctx context.Context, r proto.RoutingRequest) (proto.RoutingReply, error) {
	return callLeader[proto.RoutingRequest, proto.RoutingReply](ctx, c, proto.KindRouting, r)
}

// Heartbeat sends a heartbeat to the leader.
func (c *Client) Heartbeat(ctx context.Context, r proto.HeartbeatRequest) (proto.HeartbeatReply, error) {
	return callLeader[proto.HeartbeatRequest, proto.HeartbeatReply](ctx, c, proto.KindHeartbeat, r)
}

// Once performs a step of a run-once call at the leader.
func (c *Client) Once(ctx context.Context, r proto.OnceRequest) (proto.OnceReply, error) {
	return callLeader[proto.OnceRequest, proto.OnceReply](ctx, c, proto.KindOnce, r)
}

// RequestGrants requests slices of the accounts' rate limits from the leader.
func (c *Client) RequestGrants(ctx context.Context, r proto.GrantRequest) (proto.GrantReply, error) {
	return callLeader[proto.GrantRequest, proto.GrantReply](ctx, c, proto.KindGrants, r)
}

// Strike records a strike against a request, or clears its strikes, at the
// leader.
func (c *Client) Strike(ctx context.Context, r proto.StrikeRequest) (proto.StrikeReply, error) {
	return callLeader[proto.StrikeRequest, proto.StrikeReply](ctx, c, proto.KindStrike, r)
}

// Screen records what may have crashed an engine, and asks for a trial, at the
// leader.
func (c *Client) Screen(ctx context.Context, r state.Screening) (state.Permission, error) {
	return callLeader[state.Screening, state.Permission](ctx, c, proto.KindScreen, r)
}

// Watch long-polls a keeper, which needn't be the leader, for newer state.
func (c *Client) Watch(ctx context.Context, r proto.WatchRequest) (proto.WatchReply, error) {
	name := c.watchTarget()
	if name == "" {
		return proto.WatchReply{}, fmt.Errorf("watch: %w", errNoKeepers)
	}
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+attemptTimeout)
	defer cancel()
	reply, err := link.Call[proto.WatchRequest, proto.WatchReply](ctx, c.client(name), proto.KindWatch, r)
	if err != nil {
		c.leaveWatched(name, err)
		return reply, fmt.Errorf("watch %s: %w", name, err)
	}
	return reply, nil
}

// isFinal reports whether every keeper would answer with the same error code.
func isFinal(code string) bool {
	return code != link.CodeNotLeader && code != link.CodeInternal && code != link.CodeOverloaded && code != link.CodeStopping
}

// callKeeper makes one attempt of a call at a keeper, nil if none is known.
func callKeeper[Req, Reply any](ctx context.Context, l *link.Client, kind string, request Req) (reply Reply, err error) {
	if l == nil {
		return reply, errNoKeepers
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return link.Call[Req, Reply](ctx, l, kind, request) //nolint:wrapcheck // wrapped by the caller
}

// callLeader sends an idempotent call to the leader and retries until a leader
// answers, the error is final or ctx ends.
func callLeader[Req, Reply any](ctx context.Context, c *Client, kind string, request Req) (reply Reply, err error) {
	searching := false
	defer func() {
		if searching {
			c.endSearch()
		}
	}()
	for {
		if searching, err = c.joinSearch(ctx, searching); err != nil {
			return reply, fmt.Errorf("ask %s: %w: %w", kind, ErrNoLeader, err)
		}
		name := c.callTarget()
		reply, err := callKeeper[Req, Reply](ctx, c.client(name), kind, request)
		if err == nil {
			c.confirmLeader(name)
			return reply, nil
		}
		var remote *link.RemoteError
		if errors.As(err, &remote) && isFinal(remote.Code) {
			return reply, fmt.Errorf("ask %s: %w", name, err)
		}
		pause := c.recordFailure(ctx, name, err)
		select {
		case <-ctx.Done():
			return reply, fmt.Errorf("ask %s: %w: %w", kind, ErrNoLeader, err)
		case <-time.After(pause):
		}
	}
}
