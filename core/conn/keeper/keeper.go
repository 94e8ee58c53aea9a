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

// SetKeepers replaces the members of the log that a client made by OpenDynamic tries
// before its seeds. Other clients ignore it.
func (c *Client) SetKeepers(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && len(addresses) > 0 {
		c.members = slices.Clone(addresses)
		c.updateNames()
	}
}

// SetSeeds replaces the seeds of a client made by OpenDynamic. Other clients ignore it.
func (c *Client) SetSeeds(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && len(addresses) > 0 {
		c.seeds = slices.Clone(addresses)
		c.updateNames()
	}
}

// updateNames puts the members before the seeds. The mutex must be held.
func (c *Client) updateNames() {
	c.names = slices.Clone(c.members)
	for _, s := range c.seeds {
		if !slices.Contains(c.names, s) {
			c.names = append(c.names, s)
		}
	}
	for _, name := range c.names {
		c.add(name, name)
	}
}

// Seeds returns the keepers that the settings name.
func (c *Client) Seeds() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.seeds)
}

// Learn takes what a member of the log told of the group. Its leader may be newer than the one
// that this client presumes.
func (c *Client) Learn(g proto.Group) {
	c.SetKeepers(g.Members)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.clients[g.Leader]; known && !c.isUnresponsive(g.Leader) {
		c.leader = g.Leader
	}
}

// Direct returns the keeper that one who looks for the leader should ask: the presumed leader,
// or else the members in turn, of which some may be lost. It returns "" while none is known.
func (c *Client) Direct() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" || len(c.members) == 0 {
		return c.leader
	}
	c.turn++
	return c.members[c.turn%len(c.members)]
}

// Group asks the leader for the members of the log, and tries these from then on.
func (c *Client) Group(ctx context.Context) (proto.Group, error) {
	g, err := callLeader[proto.GroupRequest, proto.Group](ctx, c, proto.KindGroup, proto.GroupRequest{})
	if err == nil {
		c.SetKeepers(g.Members)
	}
	return g, err
}

// Introduce tells a keeper, which needn't be a member of the log, of the group.
func (c *Client) Introduce(ctx context.Context, address string, g proto.Group) error {
	c.mutex.Lock()
	c.add(address, address)
	l := c.clients[address]
	c.mutex.Unlock()
	if _, err := link.Call[proto.Group, proto.GroupReply](ctx, l, proto.KindMembers, g); err != nil {
		return fmt.Errorf("introduce members to %s: %w", address, err)
	}
	return nil
}

// SetLeaderSource sets a function that names the leader, or "" while it knows none. A process
// that is itself a keeper learns of a new leader first. It must be set before the first call.
func (c *Client) SetLeaderSource(known func() string) { c.known = known }

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

// leaveWatched makes the next watch go to another keeper, if possible the one that the watched
// one named.
func (c *Client) leaveWatched(name string, err error) {
	var remote *link.RemoteError
	directed := errors.As(err, &remote) && remote.Code == link.CodeNotLeader
	if directed && c.followHint(remote.Detail) {
		return
	}
	c.advance()
	if c.dynamic && !directed {
		c.markUnresponsive(name)
	}
}

// watchTarget returns the keeper for the next watch: the presumed leader if the
// client is dynamic and presumes one, else the next keeper in turn.
func (c *Client) watchTarget() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && c.leader != "" {
		return c.leader
	}
	if len(c.names) == 0 {
		return ""
	}
	return c.names[c.next%len(c.names)]
}

func (c *Client) advance() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.moveOn()
}

// moveOn goes on to the next keeper. The mutex must be held.
func (c *Client) moveOn() { c.next, c.asks = c.next+1, 0 }

// callTarget returns the presumed leader, or else the keeper to ask for it: always the same
// as long as it answers, since each other one costs both ends a connection. If all are
// marked as unresponsive it returns one of them, and "" if none is known.
func (c *Client) callTarget() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if name := c.presumedLeader(); name != "" {
		return name
	}
	if len(c.names) == 0 {
		return ""
	}
	if c.asks >= maxAsks {
		c.moveOn()
	}
	for range c.names {
		if name := c.names[c.next%len(c.names)]; !c.isUnresponsive(name) {
			return name
		}
		c.moveOn()
	}
	c.moveOn()
	return c.names[c.next%len(c.names)]
}

// presumedLeader returns the presumed leader, "" if there is none. The mutex must be held.
func (c *Client) presumedLeader() string {
	if c.known != nil {
		if name := c.known(); name != "" && name != c.deposed && !c.isUnresponsive(name) {
			c.add(name, name)
			return name
		}
	}
	return c.leader
}

// joinSearch returns once a leader is presumed or, with true, the caller is the only one that
// looks for it. A caller that is already looking goes on until a leader is presumed.
func (c *Client) joinSearch(ctx context.Context, searching bool) (bool, error) {
	if !searching {
		if c.hasLeader() {
			return false, nil
		}
		select {
		case c.search <- struct{}{}:
		case <-ctx.Done():
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return false, fmt.Errorf("another call looks for the leader: %w", errors.Join(c.failure, ctx.Err()))
		}
	}
	if c.hasLeader() {
		c.endSearch()
		return false, nil
	}
	return true, nil
}

// endSearch lets the next call look for the leader, or call it.
func (c *Client) endSearch() { <-c.search }

func (c *Client) hasLeader() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.presumedLeader() != ""
}

func (c *Client) isUnresponsive(name string) bool {
	return time.Now().Before(c.skipUntil[name])
}

// followHint presumes that a keeper named by another one leads, and reports whether it
// does. After a leader stops, the other keepers still name it until they have elected a new
// one, so an unresponsive keeper isn't accepted. With an empty name no leader is presumed.
func (c *Client) followHint(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && name != "" {
		c.add(name, name)
	}
	if _, ok := c.clients[name]; !ok || c.isUnresponsive(name) {
		name = ""
	}
	c.leader = name
	return name != ""
}

// confirmLeader records that a keeper served a call as leader.
func (c *Client) confirmLeader(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.skipUntil, name)
	c.leader, c.asks = name, 0
	if c.deposed == name {
		c.deposed = ""
	}
	c.backoff.Reset()
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

// recordFailure takes what a failed attempt tells of the keeper, and returns how long to
// wait before the next one: not long if it names the leader, unless that named another one.
func (c *Client) recordFailure(ctx context.Context, name string, err error) time.Duration {
	var remote *link.RemoteError
	hinted := false
	switch answered := errors.As(err, &remote); {
	case answered && remote.Code == link.CodeNotLeader:
		leader := remote.Detail
		if leader == name {
			leader = "" // it has no majority at present, and the others may have elected another one
		}
		hinted = c.followHint(leader)
		c.recordNotLeader(name, hinted)
	case answered && remote.Code == link.CodeOverloaded:
		// Another keeper would only name this one again.
	case answered && remote.Code != link.CodeStopping, ctx.Err() != nil:
		c.followHint("")
		c.advance()
	default:
		c.markUnresponsive(name)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backoff.Fail()
	c.failure = err
	soon := hinted && !c.hinted
	c.hinted = hinted
	if soon {
		return time.Duration(rand.Float64() * float64(minRetryPause))
	}
	return c.backoff.Pause(rand.Float64())
}

// recordNotLeader records that a keeper said that it doesn't lead, naming the leader or not.
// It knows its own role better than this process does.
func (c *Client) recordNotLeader(name string, hinted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deposed = name
	if !hinted {
		c.asks++
	}
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
