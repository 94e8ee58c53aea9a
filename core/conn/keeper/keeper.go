// Package keeper is the client of the instances that keep the state. It finds
// the leader and follows it when it changes.
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
)

const (
	tryTimeout = time.Second
	pause      = 20 * time.Millisecond
	avoidance  = time.Second // for which a keeper without an answer is left out
)

// ErrNoLeader tells that no leader answered in time. A call that changes
// state may have taken effect all the same; all such calls are idempotent.
var ErrNoLeader = errors.New("no leader answered")

// Client implements proto.Keeper.
type Client struct {
	config *tls.Config
	open   bool     // a keeper's name is its address, and others than the first may be learnt
	seeds  []string // the keepers known at the start

	mutex    sync.Mutex
	order    []string
	clients  map[string]*link.Client
	cleanups []func()
	leader   string
	next     int
	silent   map[string]time.Time // until when a keeper that gave no answer is left out
}

var _ proto.Keeper = (*Client)(nil)

// New returns a client for the links of the keepers, by name, and its clean-up.
func New(addresses map[string]string, config *tls.Config) (*Client, func()) {
	c := &Client{config: config, clients: make(map[string]*link.Client), silent: make(map[string]time.Time)}
	for name, address := range addresses {
		c.add(name, address)
		c.seeds = append(c.seeds, name)
	}
	return c, c.close
}

// Open returns a client of keepers that are named by their link addresses. It
// starts with the seeds and follows the leader to addresses outside of them.
func Open(seeds []string, config *tls.Config) (*Client, func()) {
	c := &Client{config: config, open: true, seeds: slices.Clone(seeds), clients: make(map[string]*link.Client), silent: make(map[string]time.Time)}
	for _, address := range seeds {
		c.add(address, address)
	}
	return c, c.close
}

// add makes the client of a keeper that isn't known yet.
func (c *Client) add(name, address string) {
	if _, known := c.clients[name]; known {
		return
	}
	l, cleanup := link.NewClient(address, c.config)
	c.clients[name] = l
	c.order = append(c.order, name)
	c.cleanups = append(c.cleanups, cleanup)
}

func (c *Client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, f := range c.cleanups {
		f()
	}
}

// Learn tells an open client which keepers there are now. The seeds are tried
// as well, until one of these was learnt.
func (c *Client) Learn(addresses []string) {
	if !c.open || len(addresses) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range addresses {
		c.add(a, a)
	}
	c.order = slices.Clone(addresses)
	for _, s := range c.seeds {
		if !slices.Contains(c.order, s) {
			c.order = append(c.order, s)
		}
	}
}

func (c *Client) client(name string) *link.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clients[name]
}

// Post publishes a routing table through the leader.
func (c *Client) Post(ctx context.Context, r proto.PostRequest) (proto.PostReply, error) {
	return ask[proto.PostRequest, proto.PostReply](ctx, c, proto.KindPost, r)
}

// Table reads the newest routing table at the leader.
func (c *Client) Table(ctx context.Context, r proto.TableRequest) (proto.TableReply, error) {
	return ask[proto.TableRequest, proto.TableReply](ctx, c, proto.KindTable, r)
}

// Beat sends a heartbeat to the leader.
func (c *Client) Beat(ctx context.Context, r proto.BeatRequest) (proto.BeatReply, error) {
	return ask[proto.BeatRequest, proto.BeatReply](ctx, c, proto.KindBeat, r)
}

// Once takes a step of a run-once call at the leader.
func (c *Client) Once(ctx context.Context, r proto.OnceRequest) (proto.OnceReply, error) {
	return ask[proto.OnceRequest, proto.OnceReply](ctx, c, proto.KindOnce, r)
}

// Slice asks the leader for slices of limits.
func (c *Client) Slice(ctx context.Context, r proto.SliceRequest) (proto.SliceReply, error) {
	return ask[proto.SliceRequest, proto.SliceReply](ctx, c, proto.KindSlice, r)
}

// Strike records a strike at the leader.
func (c *Client) Strike(ctx context.Context, r proto.StrikeRequest) (proto.StrikeReply, error) {
	return ask[proto.StrikeRequest, proto.StrikeReply](ctx, c, proto.KindStrike, r)
}

// Watch asks any keeper for newer state.
func (c *Client) Watch(ctx context.Context, r proto.WatchRequest) (proto.WatchReply, error) {
	name := c.current()
	ctx, cancel := context.WithTimeout(ctx, r.Wait+tryTimeout)
	defer cancel()
	reply, err := link.Call[proto.WatchRequest, proto.WatchReply](ctx, c.client(name), proto.KindWatch, r)
	if err != nil {
		c.skip()
		if c.open {
			c.avoid(name)
		}
		return reply, fmt.Errorf("watch %s: %w", name, err)
	}
	return reply, nil
}

// current returns the believed leader, or else any keeper.
func (c *Client) current() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open && c.leader != "" {
		return c.leader
	}
	return c.order[c.next%len(c.order)]
}

func (c *Client) skip() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
}

// pick returns the believed leader, or the next keeper to try.
func (c *Client) pick() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" {
		return c.leader
	}
	for range c.order {
		c.next++
		if name := c.order[c.next%len(c.order)]; !c.isSilent(name) {
			return name
		}
	}
	return c.order[c.next%len(c.order)]
}

func (c *Client) isSilent(name string) bool {
	return time.Now().Before(c.silent[name])
}

// believe takes a keeper for the leader. The others go on naming one that
// stopped until they have elected another, so one that just gave no answer
// isn't believed.
func (c *Client) believe(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open && name != "" {
		c.add(name, name)
	}
	if _, ok := c.clients[name]; !ok || c.isSilent(name) {
		name = ""
	}
	c.leader = name
}

// answered notes that a keeper took a call and leads.
func (c *Client) answered(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.silent, name)
	c.leader = name
}

// avoid notes that a keeper gave no answer.
func (c *Client) avoid(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent[name] = time.Now().Add(avoidance)
	if c.leader == name {
		c.leader = ""
	}
}

// final tells that no other keeper would answer otherwise.
func final(code string) bool {
	return code != link.CodeInternal && code != link.CodeFull && code != link.CodeStopping
}

// ask sends an idempotent call to the leader until one answers or ctx ends.
func ask[Q, A any](ctx context.Context, c *Client, kind string, request Q) (A, error) {
	for {
		name := c.pick()
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		answer, err := link.Call[Q, A](try, c.client(name), kind, request)
		cancel()
		if err == nil {
			c.answered(name)
			return answer, nil
		}
		var remote *link.Remote
		switch {
		case errors.As(err, &remote) && remote.Code == link.CodeNotLeader:
			c.believe(remote.Detail)
		case errors.As(err, &remote) && final(remote.Code):
			return answer, fmt.Errorf("ask %s: %w", name, err)
		case errors.As(err, &remote) && remote.Code != link.CodeStopping, ctx.Err() != nil:
			c.believe("")
		default:
			c.avoid(name)
		}
		select {
		case <-ctx.Done():
			return answer, fmt.Errorf("ask %s: %w: %w", kind, ErrNoLeader, err)
		case <-time.After(pause):
		}
	}
}
