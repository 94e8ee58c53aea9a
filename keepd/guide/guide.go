// Package guide leads instances to the members of the log. Settings may name keepers that
// aren't members, since these have no disk, theirs takes no writes or they are new.
package guide

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
)

const (
	// interval is the mean time between two rounds of a keeper, and timeout bounds its calls.
	interval = time.Second
	timeout  = time.Second
)

// leaderKinds are the calls from other instances that only a member of the log serves.
var leaderKinds = []string{
	proto.KindWatch, proto.KindHeartbeat, proto.KindOnce, proto.KindGrants, proto.KindStrike, proto.KindScreen,
	proto.KindPublish, proto.KindRouting, proto.KindGroup,
}

// Redirect makes a server answer each call that only a member serves with the keeper to ask
// instead.
func Redirect(s *link.Server, c *keeper.Client, m *meter.Registry) {
	for _, kind := range leaderKinds {
		link.Handle(s, kind, func(context.Context, string, cbor.RawMessage) (struct{}, error) {
			name, result := c.Direct(), "directed"
			if name == "" {
				result = "unknown"
			}
			m.Count("guide", result)
			return struct{}{}, &link.RemoteError{Code: link.CodeNotLeader, Detail: name}
		})
	}
}

// Listen makes a server take what members tell of the group.
func Listen(s *link.Server, c *keeper.Client) {
	link.Handle(s, proto.KindMembers, func(_ context.Context, _ string, g proto.Group) (proto.GroupReply, error) {
		c.Learn(g)
		return proto.GroupReply{}, nil
	})
}

// RunOutsider keeps the client of a keeper that isn't a member up to date until ctx ends, also
// about a leader that is lost.
func RunOutsider(ctx context.Context, c *keeper.Client) {
	for ctx.Err() == nil {
		_, _ = ask(ctx, c) // asked again in the next round
		pause(ctx)
	}
}

// Member is this keeper's membership of the log.
type Member interface {
	Status() node.Status
	SetSeeds(addresses []string)
}

// RunMember tells the seeds of the settings of the group until ctx ends, unless they are members.
// While the keeper knows no leader it asks them for the members instead.
func RunMember(ctx context.Context, c *keeper.Client, m Member) {
	for ctx.Err() == nil {
		status := m.Status()
		members := slices.Concat(status.Voters, status.Learners)
		c.SetKeepers(members)
		if status.Leader != "" {
			introduce(ctx, c, proto.Group{Members: members, Leader: status.Leader})
		} else if g, err := ask(ctx, c); err == nil {
			m.SetSeeds(slices.Concat(c.Seeds(), g.Members))
		}
		pause(ctx)
	}
}

func ask(ctx context.Context, c *keeper.Client) (proto.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Group(ctx) //nolint:wrapcheck // only compared with nil
}

// introduce tells the seeds that aren't members, all at once since some may be lost.
func introduce(ctx context.Context, c *keeper.Client, g proto.Group) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var group sync.WaitGroup
	for _, seed := range c.Seeds() {
		if !slices.Contains(g.Members, seed) {
			group.Go(func() { _ = c.Introduce(ctx, seed, g) }) // told again in the next round
		}
	}
	group.Wait()
}

func pause(ctx context.Context) {
	clock.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(interval)))
}
