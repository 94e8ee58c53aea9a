package keeper

import (
	"context"
	"fmt"
	"slices"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
)

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
