package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// firstStart is a random first start: three founders and two further instances.
type firstStart struct {
	*sim
	draw     *rand.Rand
	lost     *simMember // founder that is lost, nil for none
	restored *simMember // instance that stands for it afterwards
	uneven   bool       // the founders' first settings differ
	log      string     // what was drawn
}

// firstStartPeriod is longer than all that is drawn.
const firstStartPeriod = 4500 * time.Millisecond

func firstStartOptions() options {
	o := defaultOptions(3, 2)
	o.openMembership, o.targetVoters, o.founding, o.manualBoot = true, 3, true, true
	o.faultPeriod, o.replaceAfter, o.meanProposalGap = firstStartPeriod, 1500*time.Millisecond, 25*time.Millisecond
	return o
}

func newFirstStart(o options, seed uint64) *firstStart {
	if seed%4 == 0 {
		o.maxSync = 200 * time.Millisecond
	}
	f := &firstStart{sim: newSim(o, seed), draw: rand.New(rand.NewPCG(seed, 11))}
	for _, m := range f.members[:o.voters] {
		f.startFounder(m, f.upTo(300))
	}
	f.loseFounder()
	f.delayFounder()
	for range f.draw.IntN(4) {
		f.drawFault()
	}
	f.after(0, f.runClient)
	return f
}

func (f *firstStart) upTo(ms int) time.Duration {
	return time.Duration(f.draw.IntN(ms+1)) * time.Millisecond
}

func (f *firstStart) at(d time.Duration, what string, run func()) {
	f.log += fmt.Sprintf("%s %s; ", d, what)
	f.after(d, run)
}

func (f *firstStart) startFounder(m *simMember, d time.Duration) {
	f.at(d, m.name+" starts", m.bootIfDown)
}

// loseFounder draws whether a founder is lost with its disk, also before it starts. It
// comes back empty, or an empty instance takes its place at another address.
func (f *firstStart) loseFounder() {
	if f.draw.IntN(4) == 0 {
		return
	}
	f.lost = f.members[f.draw.IntN(3)]
	d := f.upTo(1500)
	if f.draw.IntN(3) == 0 {
		d = 0
	}
	back := d + 100*time.Millisecond + f.upTo(2500)
	if f.draw.IntN(3) == 0 {
		f.restored = f.lost
		f.at(d, f.lost.name+" loses its disk", func() { f.wipe(f.lost) })
		f.at(back, f.lost.name+" comes back empty", func() { f.lost.gone = false; f.lost.bootIfDown() })
		return
	}
	f.restored = f.members[3]
	f.at(d, f.lost.name+" is lost for good", func() { f.wipe(f.lost) })
	firstStart := f.draw.IntN(2) == 0
	f.at(back, fmt.Sprintf("m3 takes its place, told of a first start %t", firstStart), func() {
		f.restored.seeds = f.laterSeeds()
		if firstStart && !f.uneven {
			f.restored.newFoundingFolder(f.restored.seeds)
		}
		f.restored.bootIfDown()
	})
}

// wipe ends an instance and gives it an empty folder that founds nothing.
func (f *firstStart) wipe(m *simMember) {
	if m.alive {
		m.crash()
	}
	again := f.options.refound && m.disk.founding != nil
	m.newFolder(false)
	if again {
		m.newFoundingFolder(f.initialVoters())
	}
	m.gone = true
}

// laterSeeds returns the seeds in the settings after the loss.
func (f *firstStart) laterSeeds() []string {
	seeds := f.initialVoters()
	seeds[f.lost.index] = f.restored.name
	return seeds
}

// delayFounder draws whether another founder starts late, by settings that may be those
// after the loss.
func (f *firstStart) delayFounder() {
	late := f.members[f.draw.IntN(3)]
	if late == f.lost || f.draw.IntN(3) > 0 {
		return
	}
	late.gone = true
	f.uneven = f.lost != nil && f.restored != f.lost && f.draw.IntN(2) == 0
	f.at(500*time.Millisecond+f.upTo(3000), fmt.Sprintf("%s is late, other seeds %t", late.name, f.uneven), func() {
		late.gone = false
		if f.uneven {
			late.seeds = f.laterSeeds()
			late.newFoundingFolder(late.seeds)
		}
		late.bootIfDown()
	})
}

// drawFault draws a loss of power or kill of one or all, a cut down the middle, a cut link
// or a frozen instance.
func (f *firstStart) drawFault() {
	d, length := f.upTo(2500), f.upTo(1200)
	if f.draw.IntN(3) == 0 {
		d = 0
	}
	m, other := f.members[f.draw.IntN(4)], f.members[f.draw.IntN(4)]
	switch f.draw.IntN(6) {
	case 0, 1:
		f.at(d, "all lose power", func() {
			for _, m := range f.members {
				m.crashFor(f.upTo(600))
			}
		})
	case 2:
		f.at(d, m.name+" loses power", func() { m.crashFor(length) })
	case 3:
		f.at(d, fmt.Sprintf("%s and %s are cut off for %s", m.name, other.name, length), func() {
			f.inject(fault{kind: faultPartition, member: m.index, other: other.index, length: length})
		})
	case 4:
		f.at(d, fmt.Sprintf("%s to %s is cut for %s", m.name, other.name, length), func() { f.cut(m.index, other.index, length) })
	default:
		f.at(d, fmt.Sprintf("%s is frozen for %s", m.name, length), func() {
			m.paused = true
			f.after(length, m.resume)
		})
	}
}

// run plays the start and returns the violation found, "" for none.
func (f *firstStart) run() (found violation) {
	defer func() {
		if v := recover(); v != nil {
			found = violationOf(v)
		}
	}()
	f.runUntil(func() bool { return f.now >= firstStartPeriod })
	if f.lost == nil || f.restored != f.members[3] {
		f.members[3].gone = true
	}
	f.members[4].gone = true
	// Founders whose first settings differ need not form a group at all.
	f.options.skipProgressCheck = f.options.skipProgressCheck || f.uneven
	f.healAndCheck()
	if f.uneven {
		end := f.now + 5*time.Second
		f.runUntil(func() bool { return f.now > end })
		return ""
	}
	if !f.options.skipProgressCheck {
		f.checkReplaced()
	}
	return ""
}

// checkReplaced expects that the group gets three voters that are there.
func (f *firstStart) checkReplaced() {
	end := f.now + 20*time.Second
	f.runUntil(func() bool { return f.now > end || f.hasThreeLiveVoters() })
	if f.now > end {
		panic(violation("a lost founder wasn't replaced: " + f.describe()))
	}
}

func (f *firstStart) hasThreeLiveVoters() bool {
	leader := f.leader()
	if leader == nil || leader.core.Config().IsJoint() || leader.core.Config().VoterCount() != 3 {
		return false
	}
	return !slices.ContainsFunc(leader.core.Config().Members, func(v Member) bool {
		return v.Voter && !slices.ContainsFunc(f.members, func(m *simMember) bool { return m.alive && m.identity == v.Identity })
	})
}

// TestFirstStartFormsOneGroup plays thousands of first starts in which at most one disk is
// lost for good.
func TestFirstStartFormsOneGroup(t *testing.T) {
	const shares = 3
	seeds := max(*soakSeeds, 3000)
	for share := range shares {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			t.Parallel()
			acked := 0
			for seed := 1 + share; seed <= seeds; seed += shares {
				f := newFirstStart(firstStartOptions(), uint64(seed))
				if v := f.run(); v != "" {
					t.Errorf("seed %d: %s: %s", seed, f.log, v)
				}
				if f.invariants.ackedGroup != "" {
					acked++
				}
			}
			t.Logf("a third of %d starts, a group acknowledged in %d", seeds, acked)
		})
	}
}

// TestFirstStartSafeguardsAreNeeded turns off one rule at a time. The model must then find a
// violation, and none for the same start with the rule on.
func TestFirstStartSafeguardsAreNeeded(t *testing.T) {
	for _, g := range []struct {
		name      string
		firstSeed uint64
		disable   func(*options)
	}{
		{"an empty folder that returns founds nothing", 2300, func(o *options) { o.refound = true }},
		{"founders with different seeds found no common group", 2000, func(o *options) { o.anySeeds = true }},
	} {
		t.Run(g.name, func(t *testing.T) {
			const seeds = 500
			for seed := g.firstSeed; seed < g.firstSeed+seeds; seed++ {
				o := firstStartOptions()
				o.skipProgressCheck = true
				broken := o
				g.disable(&broken)
				f := newFirstStart(broken, seed)
				v := f.run()
				if v == "" {
					continue
				}
				t.Logf("rule off: seed %d: %s: %.160s", seed, f.log, v)
				if v := newFirstStart(o, seed).run(); v != "" {
					t.Fatalf("rule on: seed %d: %s", seed, v)
				}
				return
			}
			t.Fatalf("rule off: no violation within %d seeds", seeds)
		})
	}
}

// TestFounderHearsOfOtherGroup breaks the promise of a first start: after a group has lost
// its majority, a late seed and a successor are told of a first start with seeds of their
// own. They must not found a second group beside the member that they can reach.
func TestFounderHearsOfOtherGroup(t *testing.T) {
	for seed := range uint64(200) {
		o := firstStartOptions()
		o.lossRate, o.skipProgressCheck = 0, true
		f := &firstStart{sim: newSim(o, seed), draw: rand.New(rand.NewPCG(seed, 13)), uneven: true}
		late, lost := f.members[seed%3], f.members[(seed+1)%3]
		f.lost, f.restored = lost, f.members[3]
		for _, m := range f.members[:3] {
			if m != late {
				f.startFounder(m, f.upTo(300))
			}
		}
		f.at(2*time.Second, lost.name+" is lost for good", func() { f.wipe(lost) })
		for _, m := range []*simMember{late, f.restored} {
			f.at(2*time.Second+f.upTo(1000), m.name+" is told of a first start", func() {
				m.seeds = f.laterSeeds()
				m.newFoundingFolder(m.seeds)
				m.bootIfDown()
			})
		}
		f.after(0, f.runClient)
		if v := f.run(); v != "" {
			t.Errorf("seed %d: %s: %.200s", seed, f.log, v)
		}
		if f.invariants.ackCount == 0 {
			t.Errorf("seed %d: %s: nothing was acknowledged", seed, f.log)
		}
	}
}
