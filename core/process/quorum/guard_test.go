package quorum

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestGuardsAreNeeded takes out one guard at a time: the simulation must then
// find a violation within the given number of seeds, and with the guard in
// place none under the same seeds.
func TestGuardsAreNeeded(t *testing.T) {
	for _, g := range guards() {
		t.Run(g.name, func(t *testing.T) {
			for seed := g.first; seed < g.first+g.seeds; seed++ {
				troubles := g.schedule.draw(rand.New(rand.NewPCG(seed, 4)), g.options)
				broken := g.options
				g.remove(&broken)
				v, steps := run(broken, seed, troubles)
				if v == "" {
					continue
				}
				t.Logf("without the guard: seed %d, step %d: %.160s", seed, steps, v)
				if v, _ := run(g.options, seed, troubles); v != "" {
					t.Fatalf("with the guard: seed %d: %s", seed, v)
				}
				return
			}
			t.Fatalf("no violation within %d seeds", g.seeds)
		})
	}
}

type guard struct {
	name     string
	options  options
	schedule schedule
	first    uint64
	seeds    uint64
	remove   func(o *options)
}

func guards() []guard {
	const ms = time.Millisecond
	short := usual(3, 0)
	short.length, short.noProgress = 8*time.Second, true
	// With few proposals the logs seldom decide an election.
	still := short
	still.gap = 2 * time.Second
	skewed := still
	skewed.rate, skewed.drift = 0.2, 0.2
	early := short
	early.earlyLoss = true
	figure8 := usual(5, 0)
	figure8.length, figure8.batch, figure8.noProgress = 8*time.Second, 1, true
	changing := usual(5, 2)
	changing.length, changing.noProgress = 8*time.Second, true
	mixed := schedule{gap: 120 * ms, length: 1500 * ms}
	alone := schedule{gap: 400 * ms, length: 1500 * ms, kinds: []troubleKind{troubleAlone}}
	pairs := schedule{gap: 200 * ms, length: 1500 * ms, kinds: []troubleKind{troublePair}}
	brief := schedule{gap: 80 * ms, length: 1500 * ms, crash: 100 * ms, kinds: []troubleKind{troubleCrash, troublePair}}
	crashes := schedule{gap: 50 * ms, length: 300 * ms, kinds: []troubleKind{troubleCrash, troubleLeader}}
	leaders := schedule{
		gap: 60 * ms, length: 400 * ms,
		kinds: []troubleKind{troubleLeader, troubleLeader, troubleLeader, troubleCrash, troubleAlone},
	}
	changes := schedule{
		gap: 30 * ms, length: 800 * ms,
		kinds: []troubleKind{troubleChange, troubleChange, troubleChange, troubleChange, troubleHalves, troubleAlone},
	}
	losses := schedule{gap: 200 * ms, length: 3000 * ms, kinds: []troubleKind{troubleLose, troubleCut, troubleCut}}
	losing := schedule{gap: 80 * ms, length: 1500 * ms, early: true, kinds: []troubleKind{troubleLose, troubleCrash, troublePair}}
	slow := short
	slow.late = 0.3
	lazy := short
	lazy.sync = 60 * ms
	figure8.newLoss, figure8.sync = 0.85, 2*ms
	return []guard{
		{"identity of the folder", short, mixed, 1, 60, func(o *options) { o.sameIdentity = true }},
		{"sync before a promise leaves", lazy, crashes, 1, 60, func(o *options) { o.faults.sendEarly = true }},
		{"lease margin for clock rates", skewed, alone, 1, 200, func(o *options) { o.faults.noMargin = true }},
		{"votes wait for the lease", still, pairs, 1, 60, func(o *options) { o.faults.noVoteLease = true }},
		{"votes wait after a start", still, brief, 1, 200, func(o *options) { o.faults.noStartWait = true }},
		{"lease counted from sending", slow, alone, 1, 200, func(o *options) { o.faults.leaseAtReply = true }},
		{"only entries of the own term commit", figure8, leaders, 1, 100, func(o *options) { o.faults.commitOld = true }},
		{"reads are confirmed", short, alone, 1, 60, func(o *options) { o.faults.noReadRound = true }},
		{"all first voters found the group", early, losing, 1, 60, func(o *options) { o.faults.freeFounding = true }},
		{"one membership change at a time", changing, changes, 1, 200, func(o *options) { o.faults.openChange = true }},
		{"learners catch up first", short, losses, 1, 100, func(o *options) { o.faults.noCatchUp = true }},
	}
}

// TestReturningMemberDoesNotDisturb cuts a follower off for long. With the
// pre-vote the leader keeps its term; without it the term rises.
func TestReturningMemberDoesNotDisturb(t *testing.T) {
	for _, broken := range []bool{false, true} {
		o := usual(3, 0)
		o.rate, o.loss, o.copies, o.late = 0, 0, 0, 0
		o.faults.noPreVote = broken
		s := newSim(o, 1)
		s.at(0, s.client)
		until := func(d time.Duration) { s.runUntil(func() bool { return s.now >= d }) }
		until(2 * time.Second)
		leader := s.leader()
		term := leader.core.Term()
		s.isolate((leader.number+1)%3, 5*time.Second)
		until(10 * time.Second)
		if disturbed := s.leader().core.Term() != term; disturbed != broken {
			t.Errorf("without pre-vote %t: term went from %d to %d", broken, term, s.leader().core.Term())
		}
	}
}

// TestRunsRepeat checks that a seed always gives the same run, without which
// a seed in a report is worth nothing.
func TestRunsRepeat(t *testing.T) {
	o := usual(5, 2)
	p := schedule{gap: 100 * time.Millisecond, length: time.Second}
	first, steps := run(o, 7, p.draw(rand.New(rand.NewPCG(7, 3)), o))
	second, again := run(o, 7, p.draw(rand.New(rand.NewPCG(7, 3)), o))
	if first != second || steps != again {
		t.Fatalf("%d steps %q, then %d steps %q", steps, first, again, second)
	}
}
