package keeper_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

// fakeGroup is a group of keepers that answer heartbeats with the leader's name, if there is
// one.
type fakeGroup struct {
	addresses []string
	leader    atomic.Pointer[string]
	cutOff    atomic.Pointer[string] // keeper that takes itself for the leader but has no majority
	asks      atomic.Int64
	asked     sync.Map // by keeper and caller
}

func startGroup(t *testing.T, size int) *fakeGroup {
	t.Helper()
	g := &fakeGroup{}
	g.leader.Store(new(string))
	g.cutOff.Store(new(string))
	for range size {
		config, err := keys.UnauthenticatedConfig("keep")
		if err != nil {
			t.Fatal(err)
		}
		s := link.NewServer(meter.New())
		own := new(atomic.Pointer[string])
		link.Handle(s, proto.KindHeartbeat, func(_ context.Context, peer string, _ proto.HeartbeatRequest) (proto.HeartbeatReply, error) {
			g.asks.Add(1)
			g.asked.Store(*own.Load()+" "+peer, true)
			if name := *own.Load(); name == *g.cutOff.Load() {
				return proto.HeartbeatReply{}, &link.RemoteError{Code: link.CodeNotLeader, Detail: name}
			}
			if leader := *g.leader.Load(); leader != *own.Load() {
				return proto.HeartbeatReply{}, &link.RemoteError{Code: link.CodeNotLeader, Detail: leader}
			}
			return proto.HeartbeatReply{}, nil
		})
		own.Store(new("unbound"))
		a, cleanup, err := s.Listen("127.0.0.1:0", config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		own.Store(new(a.String()))
		g.addresses = append(g.addresses, a.String())
	}
	return g
}

// startInstances makes instances send heartbeats until the first is answered, and returns a
// function that waits for them.
func (g *fakeGroup) startInstances(ctx context.Context, t *testing.T, n int) (wait func() (served int)) {
	t.Helper()
	var group sync.WaitGroup
	var served atomic.Int64
	for i := range n {
		config, err := keys.UnauthenticatedConfig("entry" + string(rune('a'+i)))
		if err != nil {
			t.Fatal(err)
		}
		c, cleanup := keeper.OpenDynamic(g.addresses, config)
		t.Cleanup(cleanup)
		group.Go(func() {
			for ctx.Err() == nil {
				attempt, cancel := context.WithTimeout(ctx, time.Second)
				_, err := c.Heartbeat(attempt, proto.HeartbeatRequest{})
				cancel()
				if err == nil {
					served.Add(1)
					return
				}
			}
		})
	}
	return func() int {
		group.Wait()
		return int(served.Load())
	}
}

const instances = 20

// All instances asked all keepers each 20 ms, which kept these from electing a leader.
func TestInstancesWithoutLeaderAskRarely(t *testing.T) {
	g := startGroup(t, 5)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	g.startInstances(ctx, t, instances)()
	// Four in a second, and a few more before the pauses have grown.
	if asks := g.asks.Load(); asks > instances*14 {
		t.Errorf("%d instances asked %d times in 1.5 s", instances, asks)
	}
	t.Logf("asked %d times", g.asks.Load())
	connections := 0
	g.asked.Range(func(any, any) bool { connections++; return true })
	if connections > 4*instances {
		t.Errorf("%d instances asked %d keepers of 5 each", instances, connections/instances)
	}
}

// Pauses that have grown while there was no leader delayed the first calls to the new one.
func TestInstancesFindNewLeaderSoon(t *testing.T) {
	g := startGroup(t, 5)
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	wait := g.startInstances(ctx, t, instances)
	time.Sleep(1500 * time.Millisecond)
	g.leader.Store(&g.addresses[2])
	if served := wait(); served != instances {
		t.Errorf("%d of %d instances have found the leader after a second", served, instances)
	}
}

// A keeper asked the lost leader first, and then the others, for what its own log knew.
func TestKeeperCallsLeaderThatItsLogKnows(t *testing.T) {
	g := startGroup(t, 5)
	config, err := keys.UnauthenticatedConfig("keep")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup := keeper.OpenDynamic([]string{g.addresses[0]}, config)
	t.Cleanup(cleanup)
	known := g.addresses[0]
	c.SetLeaderSource(func() string { return known })
	for _, leader := range []int{0, 4} {
		g.leader.Store(&g.addresses[leader])
		known = g.addresses[leader]
		before := g.asks.Load()
		if _, err := c.Heartbeat(t.Context(), proto.HeartbeatRequest{}); err != nil {
			t.Fatal(err)
		}
		if asks := g.asks.Load() - before; asks != 1 {
			t.Errorf("leader %d called after %d questions", leader, asks)
		}
	}
}

// A keeper whose own log named a leader that had lost its role asked this one for ever.
func TestKeeperFollowsHintOfDeposedLeader(t *testing.T) {
	g := startGroup(t, 3)
	config, err := keys.UnauthenticatedConfig("keep")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup := keeper.OpenDynamic(g.addresses, config)
	t.Cleanup(cleanup)
	c.SetLeaderSource(func() string { return g.addresses[0] })
	g.leader.Store(&g.addresses[1])
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := c.Heartbeat(ctx, proto.HeartbeatRequest{}); err != nil {
		t.Errorf("the leader that the deposed one names isn't reached: %v", err)
	}
}

// Instances kept asking a leader that was cut off from the majority, until that had stepped down.
func TestInstancesLeaveLeaderWithoutMajority(t *testing.T) {
	g := startGroup(t, 3)
	config, err := keys.UnauthenticatedConfig("entry")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup := keeper.OpenDynamic(g.addresses, config)
	t.Cleanup(cleanup)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for leader := range g.addresses {
		g.leader.Store(&g.addresses[leader])
		if _, err := c.Heartbeat(ctx, proto.HeartbeatRequest{}); err != nil {
			t.Fatalf("leader %d not reached while leader %d names itself: %v", leader, leader-1, err)
		}
		g.cutOff.Store(&g.addresses[leader])
	}
}

// Each waiting call of an instance asked for the leader by itself.
func TestWaitingCallsAskForLeaderTogether(t *testing.T) {
	const calls = 50
	g := startGroup(t, 5)
	config, err := keys.UnauthenticatedConfig("entry")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup := keeper.OpenDynamic(g.addresses, config)
	t.Cleanup(cleanup)
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	var group sync.WaitGroup
	var served, givenUp atomic.Int64
	for i := range calls {
		group.Go(func() {
			own := ctx
			if i%2 == 0 { // also that of the call that asks
				short, cancel := context.WithTimeout(ctx, time.Duration(i)*30*time.Millisecond)
				defer cancel()
				own = short
			}
			switch _, err := c.Heartbeat(own, proto.HeartbeatRequest{}); {
			case err == nil:
				served.Add(1)
			case own.Err() != nil:
				givenUp.Add(1)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if asks := g.asks.Load(); asks > 14 { // as one call
		t.Errorf("%d calls asked %d times in 1.5 s", calls, asks)
	}
	g.leader.Store(&g.addresses[2])
	group.Wait()
	if served.Load() != calls/2 || givenUp.Load() != calls/2 {
		t.Errorf("%d calls served and %d given up, want %d each", served.Load(), givenUp.Load(), calls/2)
	}
}

// Settings without seeds ended the process with a division by zero.
func TestClientWithoutSeedsWaitsForThem(t *testing.T) {
	g := startGroup(t, 3)
	g.leader.Store(&g.addresses[1])
	config, err := keys.UnauthenticatedConfig("entry")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup := keeper.OpenDynamic(nil, config)
	t.Cleanup(cleanup)
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := c.Heartbeat(short, proto.HeartbeatRequest{}); !errors.Is(err, keeper.ErrNoLeader) {
		t.Errorf("heartbeat without seeds: %v", err)
	}
	if _, err := c.Watch(t.Context(), proto.WatchRequest{}); err == nil {
		t.Error("watch without seeds")
	}
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := c.Heartbeat(ctx, proto.HeartbeatRequest{})
		done <- err
	}()
	c.SetSeeds(g.addresses[:1])
	if err := <-done; err != nil {
		t.Errorf("heartbeat after the settings have changed: %v", err)
	}
}

// A keeper without a disk named a lost leader although members had told it of another one.
func TestLatestLeaderIsNamed(t *testing.T) {
	config, err := keys.UnauthenticatedConfig("keep")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup := keeper.OpenDynamic([]string{"127.0.0.1:1"}, config)
	t.Cleanup(cleanup)
	members := []string{"127.0.0.1:2", "127.0.0.1:3"}
	if name := c.Direct(); name != "" {
		t.Errorf("%s named before a member is known", name)
	}
	c.Learn(proto.Group{Members: members})
	if first, second := c.Direct(), c.Direct(); first == second {
		t.Errorf("%s named twice, want the members in turn", first)
	}
	for _, leader := range members {
		c.Learn(proto.Group{Members: members, Leader: leader})
		if name := c.Direct(); name != leader {
			t.Errorf("%s named, want %s", name, leader)
		}
	}
}
