package node_test

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/process/quorum"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestReceiveRejectsForgedSender sends messages in a member's own name and in
// that of another: only the second is refused.
func TestReceiveRejectsForgedSender(t *testing.T) {
	g := newGroup(t, 2, 0, nil)
	g.start("keep1")
	c, cleanup := link.NewClient(g.addresses["keep1"], g.keys("keep2"))
	defer cleanup()
	p := c.OneWayStream(proto.KindRaft)
	for want, from := range []string{"keep2", "keep1"} {
		requireNoError(t, p.Send(t.Context(), []quorum.Message{{Kind: quorum.MessageHello, From: from}}))
		g.wait("counter", func() bool {
			return g.members["keep1"].meter.Value("raft", "refused", "forged") == int64(want)
		})
	}
}

func TestThreeMembersCommit(t *testing.T) {
	g := newGroup(t, 3, 0, nil)
	g.start(g.names...)
	for i := range uint64(50) {
		g.propose(i + 1)
	}
	g.waitApplied(50, 50*51/2)
	leader := g.members[g.leader()]
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	requireNoError(t, leader.node.Barrier(ctx))
}

func TestStoppedLeaderRejoins(t *testing.T) {
	g := newGroup(t, 3, 0, nil)
	g.start(g.names...)
	g.propose(1)
	old := g.leader()
	g.stop(old)
	g.propose(2)
	g.start(old)
	g.propose(3)
	g.waitApplied(3, 6)
}

func TestHandOverElectsAnotherLeader(t *testing.T) {
	g := newGroup(t, 3, 0, nil)
	g.start(g.names...)
	g.propose(1)
	old := g.leader()
	g.members[old].node.HandOver()
	g.wait("another leader", func() bool { return g.leader() != old })
	g.propose(2)
	g.waitApplied(2, 3)
}

// A leader that hands over without a voter to take over would leave none.
func TestHandOverWithoutSuccessorKeepsLeader(t *testing.T) {
	g := newGroup(t, 1, 0, nil)
	g.start(g.names...)
	g.propose(1)
	leader := g.members[g.leader()].node
	leader.HandOver()
	for end := time.Now().Add(2 * g.settings[g.names[0]].ElectionTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, left := leader.Lease(); left <= 0 {
			t.Fatal("leader without a successor gave up its lease")
		}
	}
}

// A leader that answered under its lease knew less than its predecessor had told.
func TestLeaseNeedsStateOfEarlierTerms(t *testing.T) {
	g := newGroup(t, 1, 0, nil)
	g.start(g.names...)
	for range 4 {
		g.propose(1)
	}
	g.stop(g.names[0])
	g.applyDelay = 50 * time.Millisecond
	g.start(g.names...)
	if count, _ := g.members[g.leader()].machine.read(); count != 4 {
		t.Errorf("the leader holds a lease with %d of 4 commands applied", count)
	}
}

func TestAllRestart(t *testing.T) {
	g := newGroup(t, 3, 0, func(s *node.Settings) { s.CommandsPerSnapshot = 100 })
	g.start(g.names...)
	for range 250 {
		g.propose(1)
	}
	for _, name := range g.names {
		g.stop(name)
	}
	g.start(g.names...)
	g.propose(1)
	g.waitApplied(251, 251)
}

func TestLostFolderComesBackAsNewMember(t *testing.T) {
	g := newGroup(t, 3, 0, func(s *node.Settings) { s.CommandsPerSnapshot = 100 })
	g.start(g.names...)
	for range 300 {
		g.propose(1)
	}
	victim := g.names[0]
	if g.leader() == victim {
		victim = g.names[1]
	}
	g.stop(victim)
	requireNoError(t, os.RemoveAll(g.settings[victim].Folder))
	g.start(victim)
	g.propose(1)
	g.waitApplied(301, 301)
	g.wait("three voters again", func() bool { return slices.Equal(g.voters(), g.names) })
}

func TestSpareReplacesDeadVoter(t *testing.T) {
	g := newGroup(t, 3, 1, nil)
	g.start(g.names...)
	g.propose(1)
	victim := g.names[0]
	g.stop(victim)
	g.wait("the spare to vote", func() bool { return slices.Equal(g.voters(), g.names[1:]) })
	// After the replacement the group tolerates the loss of another member.
	g.stop(g.leader())
	g.propose(2)
	g.waitApplied(2, 3)
}

func TestSingleMember(t *testing.T) {
	g := newGroup(t, 1, 0, nil)
	g.start(g.names...)
	g.propose(5)
	g.waitApplied(1, 5)
	time.Sleep(g.settings["keep1"].ElectionTimeout)
	if _, left := g.members["keep1"].node.Lease(); left <= 0 {
		t.Fatal("a single member lost its lease")
	}
}
