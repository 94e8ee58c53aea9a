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

// newOpenGroup returns a group with open membership: members are named by their
// addresses and initially know only the seeds.
func newOpenGroup(t *testing.T, seeds, others, targetVoters int) *group {
	t.Helper()
	g := newGroup(t, 0, 0, nil)
	for i := range seeds + others {
		address := freeAddress(t)
		g.names = append(g.names, address)
		g.addresses[address] = address
		g.settings[address] = node.Settings{
			Name: address, Folder: filepath.Join(g.baseFolder, fmt.Sprint(i)), OpenMembership: true, JoinOnly: i >= seeds, FirstStart: i < seeds, TargetVoters: targetVoters,
			HeartbeatInterval: 30 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond, ReplaceAfter: time.Second, CommandsPerSnapshot: 10000,
		}
	}
	for _, name := range g.names {
		s := g.settings[name]
		s.InitialVoters = g.names[:seeds]
		s.Peers = map[string]string{name: name}
		for _, seed := range s.InitialVoters {
			s.Peers[seed] = seed
		}
		g.settings[name] = s
	}
	return g
}

func TestOpenGroupGrowsToTargetVoters(t *testing.T) {
	g := newOpenGroup(t, 3, 2, 5)
	g.start(g.names...)
	g.propose(1)
	g.wait("five voters", func() bool { return len(g.members[g.leader()].node.Status().Voters) == 5 })
	g.waitApplied(1, 1)
	// Five voters tolerate the loss of two.
	for _, name := range g.names[:2] {
		g.stop(name)
	}
	g.propose(2)
}

// A lost instance is replaced by one at a new address that no member was
// configured with, and which knows only one current member as its seed.
func TestOpenGroupReplacesLostInstance(t *testing.T) {
	g := newOpenGroup(t, 3, 1, 3)
	g.start(g.names[:3]...)
	g.propose(1)
	g.stop(g.names[0])
	g.propose(2)
	s := g.settings[g.names[3]]
	s.InitialVoters, s.Peers = nil, map[string]string{s.Name: s.Name, g.names[1]: g.names[1]}
	g.settings[g.names[3]] = s
	g.start(g.names[3])
	g.wait("voter in place of the lost one", func() bool {
		return slices.Contains(g.voters(), g.names[3]) && !slices.Contains(g.voters(), g.names[0])
	})
	g.waitApplied(2, 3)
	// With the lost instance replaced, the group tolerates another loss.
	g.stop(g.names[1])
	g.propose(4)
}

// An instance that lost its data folder is readmitted at its old address with a
// new identity.
func TestOpenGroupReadmitsWipedInstance(t *testing.T) {
	g := newOpenGroup(t, 3, 0, 3)
	g.start(g.names...)
	g.propose(1)
	lost := g.names[2]
	g.stop(lost)
	g.propose(2)
	s := g.settings[lost]
	s.Folder, s.JoinOnly, s.FirstStart = filepath.Join(g.baseFolder, "new"), true, false
	g.settings[lost] = s
	g.start(lost)
	g.wait("group of three voters with the returned instance", func() bool {
		return len(g.voters()) == 3 && slices.Contains(g.voters(), lost)
	})
	g.waitApplied(2, 3)
}

// A newcomer whose only seed is lost before the group has a leader was never told of the others.
func TestNewcomerOutlivesItsOnlySeed(t *testing.T) {
	g := newOpenGroup(t, 3, 1, 3)
	seed, newcomer := g.names[0], g.names[3]
	g.start(g.names[:3]...)
	g.propose(1)
	g.waitApplied(1, 1)
	g.stop(g.names[1])
	g.stop(g.names[2])
	g.wait("seed without a leader", func() bool { return g.members[seed].node.Status().Leader == "" })
	s := g.settings[newcomer]
	s.InitialVoters, s.Peers = nil, map[string]string{newcomer: newcomer, seed: seed}
	g.settings[newcomer] = s
	g.start(newcomer)
	time.Sleep(10 * s.ElectionTimeout)
	g.stop(seed)
	g.start(g.names[1:3]...)
	g.wait("voter in place of the seed", func() bool {
		return slices.Contains(g.voters(), newcomer) && !slices.Contains(g.voters(), seed)
	})
}

// A newcomer kept asking the seeds that it was started with, although its settings had changed.
func TestNewcomerTakesSeedsOfChangedSettings(t *testing.T) {
	g := newOpenGroup(t, 3, 1, 3)
	lost, newcomer := g.names[0], g.names[3]
	g.start(g.names[1:3]...)
	g.propose(1)
	s := g.settings[newcomer]
	s.InitialVoters, s.Peers = nil, map[string]string{newcomer: newcomer, lost: lost}
	g.settings[newcomer] = s
	g.start(newcomer)
	g.members[newcomer].node.SetSeeds([]string{lost, g.names[1]})
	g.wait("newcomer among the voters", func() bool { return slices.Contains(g.voters(), newcomer) })
}

// A seed that never comes is replaced like a lost member, also by an instance whose
// settings still speak of a first start.
func TestFirstStartWithoutOneSeed(t *testing.T) {
	for i, told := range []bool{false, true} {
		g := newOpenGroup(t, 3, 1, 3)
		missing, successor := g.names[i], g.names[3]
		present := slices.DeleteFunc(slices.Clone(g.names[:3]), func(name string) bool { return name == missing })
		g.start(present...)
		g.propose(1)
		s := g.settings[successor]
		s.InitialVoters, s.JoinOnly, s.FirstStart = append(slices.Clone(present), successor), !told, told
		s.Peers = map[string]string{present[0]: present[0], present[1]: present[1], successor: successor}
		g.settings[successor] = s
		g.start(successor)
		g.wait("voter in place of the missing seed", func() bool {
			return slices.Contains(g.voters(), successor) && !slices.Contains(g.voters(), missing)
		})
		g.waitApplied(1, 1)
		g.stop(present[1])
		g.propose(2)
	}
}

// One of two founders alone must not found a group, whatever else it meets.
func TestMinorityOfFoundersFoundsNothing(t *testing.T) {
	g := newOpenGroup(t, 3, 1, 3)
	wiped := g.settings[g.names[1]]
	wiped.JoinOnly, wiped.FirstStart = true, false
	g.settings[g.names[1]] = wiped
	g.start(g.names[0], g.names[1], g.names[3])
	time.Sleep(time.Second)
	for name, m := range g.members {
		if s := m.node.Status(); s.Leader != "" || s.Term != 0 {
			t.Fatalf("%s follows %q in term %d", name, s.Leader, s.Term)
		}
	}
}

// Instances that may only join must not bootstrap a group.
func TestJoiningMembersDoNotBootstrap(t *testing.T) {
	g := newOpenGroup(t, 3, 0, 3)
	for _, name := range g.names {
		s := g.settings[name]
		s.JoinOnly, s.FirstStart = true, false
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

// Links without key files still need the name of the instance.
func TestUnauthenticatedConfigRequiresName(t *testing.T) {
	if _, err := keys.UnauthenticatedConfig(""); err == nil {
		t.Fatal("a configuration without an instance name was accepted")
	}
}
