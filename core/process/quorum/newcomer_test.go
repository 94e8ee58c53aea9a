package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// newcomers is a random run in which two empty instances start at new addresses and know only
// some seeds.
type newcomers struct {
	*sim
	draw    *rand.Rand
	voters  int
	log     strings.Builder              // what was drawn
	since   map[*simMember]time.Duration // since when a newcomer could be introduced
	longest time.Duration                // longest time that an introduction took
}

func newNewcomers(voters int, seed uint64) *newcomers {
	o := defaultOptions(voters, 2)
	o.openMembership, o.targetVoters, o.founding, o.manualBoot = true, voters, true, true
	o.replaceAfter, o.meanProposalGap = 25*simElection/6, 25*time.Millisecond
	n := &newcomers{sim: newSim(o, seed), draw: rand.New(rand.NewPCG(seed, 19)), voters: voters, since: make(map[*simMember]time.Duration)}
	for _, m := range n.members[:voters] {
		m.boot()
	}
	for _, m := range n.members[voters:] {
		m.gone = true
	}
	n.after(0, n.runClient)
	n.after(0, n.watch)
	return n
}

func (n *newcomers) upTo(d time.Duration) time.Duration {
	return time.Duration(n.draw.Int64N(int64(d) + 1))
}

func (n *newcomers) at(t time.Duration, what string, run func()) {
	fmt.Fprintf(&n.log, "%s %s; ", t, what)
	n.after(t-n.now, run)
}

// lose ends an instance for good.
func (n *newcomers) lose(m *simMember) {
	if m.alive {
		m.crash()
	}
	m.newFolder(false)
	m.gone = true
}

// lossy drops most messages between an instance and all others for a time.
func (n *newcomers) lossy(m *simMember, length time.Duration) {
	const step = 20 * time.Millisecond
	if length <= 0 {
		return
	}
	for i := range n.members {
		for _, link := range [][2]int{{m.index, i}, {i, m.index}} {
			if n.draw.IntN(5) > 0 {
				n.cut(link[0], link[1], step)
			}
		}
	}
	n.after(step, func() { n.lossy(m, length-step) })
}

// drawSeeds draws the settings of the newcomers: each knows a live voter or, but for one of
// them, the other newcomer; the further seeds are lost, cut off, replaced or newcomers.
func (n *newcomers) drawSeeds(live []*simMember) {
	first, second := n.members[n.voters], n.members[n.voters+1]
	first.seeds = []string{live[n.draw.IntN(len(live))].name}
	for range n.draw.IntN(3) {
		first.seeds = append(first.seeds, n.members[n.draw.IntN(len(n.members))].name)
	}
	second.seeds = first.seeds
	if n.draw.IntN(2) == 0 {
		second.seeds = []string{first.name}
	}
	for _, m := range n.members[n.voters:] {
		n.at(2*time.Second+n.upTo(2*time.Second), fmt.Sprintf("%s starts with seeds %v", m.name, m.seeds), func() { m.gone = false; m.bootIfDown() })
	}
}

// drawTrouble draws what happens while the newcomers are introduced. All of it is over 9 s
// after the start.
func (n *newcomers) drawTrouble() {
	d, length := 2*time.Second+n.upTo(3*time.Second), n.upTo(time.Second)
	m := n.members[n.draw.IntN(len(n.members))]
	switch n.draw.IntN(7) {
	case 0:
		n.at(d, fmt.Sprintf("%s loses most messages for %s", m.name, 3*length), func() { n.lossy(m, 3*length) })
	case 1:
		n.at(d, fmt.Sprintf("the leader loses power for %s", length), func() { n.inject(fault{kind: faultCrashLeader, length: length}) })
	case 2:
		n.at(d, fmt.Sprintf("the leader is cut off for %s", length), func() { n.inject(fault{kind: faultIsolateLeader, length: length}) })
	case 3:
		n.at(d, fmt.Sprintf("%s is frozen for %s", m.name, length), func() { n.inject(fault{kind: faultPause, member: m.index, length: length}) })
	case 4:
		n.at(d, "all lose power", func() {
			for _, m := range n.members {
				m.crashFor(n.upTo(simElection))
			}
		})
	case 5:
		seed := slices.IndexFunc(n.members, func(m *simMember) bool { return m.name == n.members[n.voters].seeds[0] })
		n.at(d, fmt.Sprintf("m%d and the leader lose each other", seed), func() {
			if l := n.leader(); l != nil {
				n.cutPair(seed, l.index, catchUpTime+2*length)
			}
		})
	default:
		n.at(d, "the leader hands over", func() {
			if l := n.leader(); l != nil && !l.paused {
				l.step(TransferLeadership{})
			}
		})
	}
}

// play draws and runs the whole. It returns the violation found, "" for none.
func (n *newcomers) play() (found violation) {
	defer func() {
		if v := recover(); v != nil {
			found = violationOf(v)
		}
	}()
	order := n.draw.Perm(n.voters)
	var live []*simMember
	lost := n.draw.IntN((n.voters-1)/2 + 1)
	for i, v := range order {
		m := n.members[v]
		if i >= lost {
			live = append(live, m)
			continue
		}
		n.at(1500*time.Millisecond+n.upTo(3*time.Second), m.name+" is lost for good", func() { n.lose(m) })
	}
	n.drawSeeds(live)
	for range n.draw.IntN(5) {
		n.drawTrouble()
	}
	n.runUntil(func() bool { return n.now >= 9*time.Second })
	n.healAndCheck()
	end := n.now + 2*catchUpTime
	n.runUntil(func() bool { return n.now >= end })
	if !n.hasVoters() {
		panic(violation("lost voters weren't replaced: " + n.describe()))
	}
	return ""
}

// watch checks again and again that no newcomer stays outside for longer than it may while it
// can be introduced.
func (n *newcomers) watch() {
	leader := n.leader()
	for _, m := range n.members[n.voters:] {
		if !n.canBeIntroduced(m, leader) {
			delete(n.since, m)
			continue
		}
		if _, ok := n.since[m]; !ok {
			n.since[m] = n.now
		}
		waited := n.now - n.since[m]
		n.longest = max(n.longest, waited)
		if waited > catchUpTime {
			panic(violation(fmt.Sprintf("%s waits for %s to be introduced to %s: %s", m.name, waited, leader.name, n.describe())))
		}
	}
	n.after(simTick, n.watch)
}

// canBeIntroduced reports whether an instance isn't a member, but reaches one by its seeds, and the
// leader.
func (n *newcomers) canBeIntroduced(m, leader *simMember) bool {
	if !m.alive || m.paused || leader == nil || !leader.holdsLease() || !n.linked(m, leader) {
		return false
	}
	if _, member := leader.core.Config().Find(m.identity); member {
		return false
	}
	return slices.ContainsFunc(n.members, func(s *simMember) bool {
		_, member := leader.core.Config().Find(s.identity)
		return slices.Contains(m.seeds, s.name) && member && s.alive && n.linked(m, s)
	})
}

// hasVoters reports whether the group has as many voters as the settings say, and all of them
// are there.
func (n *newcomers) hasVoters() bool {
	leader := n.leader()
	if leader == nil || leader.core.Config().IsJoint() || leader.core.Config().VoterCount() != n.voters {
		return false
	}
	return n.folderMajorityExists(leader.core.Config(), nil) && !slices.ContainsFunc(leader.core.Config().Members, func(v Member) bool {
		return v.Voter && !slices.ContainsFunc(n.members, func(m *simMember) bool { return m.identity == v.Identity })
	})
}

func (n *newcomers) linked(a, b *simMember) bool {
	return !a.paused && !b.paused && !n.cutLinks[[2]int{a.index, b.index}] && !n.cutLinks[[2]int{b.index, a.index}]
}

// TestNewcomerIsIntroducedByAnySeed guards against an empty instance that nobody ever tells of
// the group.
func TestNewcomerIsIntroducedByAnySeed(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			t.Parallel()
			seeds, longest := max(*soakSeeds, 100), time.Duration(0)
			for seed := 1; seed <= seeds; seed++ {
				n := newNewcomers(voters, uint64(seed))
				if v := n.play(); v != "" {
					t.Errorf("seed %d: %s: %.600s", seed, n.log.String(), v)
				}
				longest = max(longest, n.longest)
			}
			t.Logf("%d seeds, an introduction took %s at most", seeds, longest)
		})
	}
}

// hellos returns the names that a newcomer says hello to within a time, once for each time.
func hellos(c *Core, from, to time.Duration) map[string]int {
	counts := make(map[string]int)
	for now := from; now < to; now += simTick {
		for _, a := range c.Step(now, Tick{}) {
			if s, ok := a.(Send); ok && s.Message.Kind == MessageHello {
				counts[s.Message.To]++
			}
		}
	}
	return counts
}

// A newcomer whose hellos are all lost must neither fall silent nor flood the instances that it
// was told of.
func TestNewcomerAsksAtSteadyPace(t *testing.T) {
	settings := Settings{
		Name: "n", Identity: "n", Peers: []string{"a", "b"}, OpenMembership: true,
		HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection,
	}
	c := New(settings, DurableState{}, rand.New(rand.NewPCG(1, 1)), 0)
	for i := range 100 {
		c.Step(0, Receive{Message: Message{Kind: MessageMembers, ToIdentity: "n", Group: "g", Names: []string{"c", fmt.Sprint(i)}}})
	}
	const period = 10 * time.Second
	for start := time.Duration(0); start < 10*period; start += period {
		counts := hellos(c, start, start+period)
		if len(counts) > len(settings.Peers)+maxIntroduced {
			t.Fatalf("hellos to %d instances", len(counts))
		}
		for _, name := range []string{"a", "b", "c"} {
			if n := counts[name]; n < int(period/simElection) || n > int(2*period/simElection)+1 {
				t.Errorf("%d hellos to %s from %s on", n, name, start)
			}
		}
	}
}
