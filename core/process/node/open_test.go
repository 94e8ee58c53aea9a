package node_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/node"
)

// newOpenGroup makes members that are named by their addresses and know only
// the seeds.
func newOpenGroup(t *testing.T, seeds, others, wanted int) *group {
	t.Helper()
	g := newGroup(t, 0, 0, nil)
	for i := range seeds + others {
		address := freeAddress(t)
		g.names = append(g.names, address)
		g.addresses[address] = address
		g.settings[address] = node.Settings{
			Name: address, Folder: filepath.Join(g.base, fmt.Sprint(i)), Open: true, Join: i >= seeds, Wanted: wanted,
			Heartbeat: 30 * time.Millisecond, Election: 200 * time.Millisecond, Replace: time.Second, Snapshot: 10000,
		}
	}
	for _, name := range g.names {
		s := g.settings[name]
		s.Voters = g.names[:seeds]
		s.Peers = map[string]string{name: name}
		for _, seed := range s.Voters {
			s.Peers[seed] = seed
		}
		g.settings[name] = s
	}
	return g
}

func TestOpenGroupGrowsToTheWantedVoters(t *testing.T) {
	g := newOpenGroup(t, 3, 2, 5)
	g.start(g.names...)
	g.add(1)
	g.wait("five voters", func() bool { return len(g.members[g.leader()].node.Status().Voters) == 5 })
	g.settle(1, 1)
	// It bears the loss of two.
	for _, name := range g.names[:2] {
		g.halt(name)
	}
	g.add(2)
}

// A machine that is gone for good is replaced by one at an address that
// nobody was told, and which knows only what are seeds now.
func TestOpenGroupReplacesALostMachine(t *testing.T) {
	g := newOpenGroup(t, 3, 1, 3)
	g.start(g.names[:3]...)
	g.add(1)
	g.halt(g.names[0])
	g.add(2)
	s := g.settings[g.names[3]]
	s.Voters, s.Peers = nil, map[string]string{s.Name: s.Name, g.names[1]: g.names[1]}
	g.settings[g.names[3]] = s
	g.start(g.names[3])
	g.wait("the newcomer as a voter", func() bool {
		return slices.Contains(g.voters(), g.names[3]) && !slices.Contains(g.voters(), g.names[0])
	})
	g.settle(2, 3)
	// With its predecessor gone the group bears another loss.
	g.halt(g.names[1])
	g.add(4)
}

// A member that lost its folder comes back at its address as a new one.
func TestOpenGroupTakesBackAWipedMachine(t *testing.T) {
	g := newOpenGroup(t, 3, 0, 3)
	g.start(g.names...)
	g.add(1)
	lost := g.names[2]
	g.halt(lost)
	g.add(2)
	s := g.settings[lost]
	s.Folder, s.Join = filepath.Join(g.base, "new"), true
	g.settings[lost] = s
	g.start(lost)
	g.wait("three voters that answer", func() bool {
		return len(g.voters()) == 3 && slices.Contains(g.voters(), lost)
	})
	g.settle(2, 3)
}

// Instances that never founded anything must not found a group by themselves.
func TestJoiningMembersFoundNothing(t *testing.T) {
	g := newOpenGroup(t, 3, 0, 3)
	for _, name := range g.names {
		s := g.settings[name]
		s.Join = true
		g.settings[name] = s
	}
	g.start(g.names...)
	time.Sleep(time.Second)
	for name, m := range g.members {
		if s := m.node.Status(); s.Leader != "" || s.Term != 0 {
			t.Fatalf("%s follows %q in term %d", name, s.Leader, s.Term)
		}
	}
}

// Links without key files still tell the name of the other end.
func TestIsolatedLinks(t *testing.T) {
	if _, err := keys.Isolated(""); err == nil {
		t.Fatal("an instance without a name got keys")
	}
}
