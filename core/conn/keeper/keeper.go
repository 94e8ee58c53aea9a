// Package keeper is the client of the consensus group: the keeper instances
// that replicate the system's state. It discovers the group's leader, follows
// leader changes and retries idempotent calls.
package keeper

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

const (
	attemptTimeout = time.Second
	retryInterval  = 20 * time.Millisecond
	skipPeriod     = time.Second // how long an unresponsive keeper isn't tried
)

// ErrNoLeader reports that no leader answered before the context ended. A call
// that changes state may still have taken effect; all such calls are
// idempotent.
var ErrNoLeader = errors.New("no leader answered")

// Client implements proto.Keeper with calls to the leader.
type Client struct {
	config  *tls.Config
	dynamic bool     // keepers are named by address, and the group may grow beyond the seeds
	seeds   []string // keepers known at the start

	mutex     sync.Mutex
	names     []string // keepers to try, in round-robin order
	clients   map[string]*link.Client
	cleanups  []func()
	leader    string
	next      int                  // round-robin position in names
	skipUntil map[string]time.Time // unresponsive keepers aren't tried before this time
}

var _ proto.Keeper = (*Client)(nil)

// New returns a client for a fixed group of keepers, given as link addresses by
// name, and its clean-up.
func New(addresses map[string]string, config *tls.Config) (*Client, func()) {
	c := &Client{config: config, clients: make(map[string]*link.Client), skipUntil: make(map[string]time.Time)}
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
	c := &Client{config: config, dynamic: true, seeds: slices.Clone(seeds), clients: make(map[string]*link.Client), skipUntil: make(map[string]time.Time)}
	for _, address := range seeds {
		c.add(address, address)
	}
	return c, c.close
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

// SetKeepers replaces the keepers that a client made by OpenDynamic tries. The
// seeds are still tried after them. Other clients ignore it.
func (c *Client) SetKeepers(addresses []string) {
	if !c.dynamic || len(addresses) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range addresses {
		c.add(a, a)
	}
	c.names = slices.Clone(addresses)
	for _, s := range c.seeds {
		if !slices.Contains(c.names, s) {
			c.names = append(c.names, s)
		}
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
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+attemptTimeout)
	defer cancel()
	reply, err := link.Call[proto.WatchRequest, proto.WatchReply](ctx, c.client(name), proto.KindWatch, r)
	if err != nil {
		c.advance()
		if c.dynamic {
			c.markUnresponsive(name)
		}
		return reply, fmt.Errorf("watch %s: %w", name, err)
	}
	return reply, nil
}

// watchTarget returns the keeper for the next watch: the presumed leader if the
// client is dynamic and presumes one, else the next keeper in turn.
func (c *Client) watchTarget() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && c.leader != "" {
		return c.leader
	}
	return c.names[c.next%len(c.names)]
}

func (c *Client) advance() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
}

// callTarget returns the presumed leader, or else the next keeper that isn't
// marked as unresponsive. If all are marked it returns one of them.
func (c *Client) callTarget() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" {
		return c.leader
	}
	for range c.names {
		c.next++
		if name := c.names[c.next%len(c.names)]; !c.isUnresponsive(name) {
			return name
		}
	}
	return c.names[c.next%len(c.names)]
}

func (c *Client) isUnresponsive(name string) bool {
	return time.Now().Before(c.skipUntil[name])
}

// followHint presumes that a keeper named by another one leads. After a leader
// stops, the other keepers still name it until they have elected a new one, so
// an unresponsive keeper isn't accepted. With an empty name no leader is
// presumed.
func (c *Client) followHint(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && name != "" {
		c.add(name, name)
	}
	if _, ok := c.clients[name]; !ok || c.isUnresponsive(name) {
		name = ""
	}
	c.leader = name
}

// confirmLeader records that a keeper served a call as leader.
func (c *Client) confirmLeader(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.skipUntil, name)
	c.leader = name
}

// markUnresponsive records that a keeper didn't answer.
func (c *Client) markUnresponsive(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.skipUntil[name] = time.Now().Add(skipPeriod)
	if c.leader == name {
		c.leader = ""
	}
}

// isFinal reports whether every keeper would answer with the same error code.
func isFinal(code string) bool {
	return code != link.CodeInternal && code != link.CodeOverloaded && code != link.CodeStopping
}

// callLeader sends an idempotent call to the leader and retries until a leader
// answers, the error is final or ctx ends.
func callLeader[Req, Reply any](ctx context.Context, c *Client, kind string, request Req) (Reply, error) {
	for {
		name := c.callTarget()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, err := link.Call[Req, Reply](attempt, c.client(name), kind, request)
		cancel()
		if err == nil {
			c.confirmLeader(name)
			return reply, nil
		}
		var remote *link.RemoteError
		switch {
		case errors.As(err, &remote) && remote.Code == link.CodeNotLeader:
			c.followHint(remote.Detail)
		case errors.As(err, &remote) && isFinal(remote.Code):
			return reply, fmt.Errorf("ask %s: %w", name, err)
		case errors.As(err, &remote) && remote.Code != link.CodeStopping, ctx.Err() != nil:
			c.followHint("")
		default:
			c.markUnresponsive(name)
		}
		select {
		case <-ctx.Done():
			return reply, fmt.Errorf("ask %s: %w: %w", kind, ErrNoLeader, err)
		case <-time.After(retryInterval):
		}
	}
}
