package quorum

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestEachSafeguardIsNeeded turns off one safeguard at a time. The simulation
// must then find a violation within the given number of seeds, and none for the
// same seed and faults with the safeguard on.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, g := range safeguards() {
		t.Run(g.name, func(t *testing.T) {
			for seed := g.firstSeed; seed < g.firstSeed+g.seedCount; seed++ {
				faults := g.schedule.draw(rand.New(rand.NewPCG(seed, 4)), g.options)
				broken := g.options
				g.disable(&broken)
				v, steps := runSimulation(broken, seed, faults)
				if v == "" {
					continue
				}
				t.Logf("safeguard off: seed %d, step %d: %.160s", seed, steps, v)
				if v, _ := runSimulation(g.options, seed, faults); v != "" {
					t.Fatalf("safeguard on: seed %d: %s", seed, v)
				}
				return
			}
			t.Fatalf("safeguard off: no violation within %d seeds", g.seedCount)
		})
	}
}

// safeguard is a rule of the core and a simulation that fails without it.
type safeguard struct {
	name      string
	options   options
	schedule  schedule
	firstSeed uint64
	seedCount uint64
	disable   func(o *options)
}

func safeguards() []safeguard {
	const ms = time.Millisecond
	short := defaultOptions(3, 0)
	short.faultPeriod, short.skipProgressCheck = 8*time.Second, true
	// With few proposals, logs are mostly equal and seldom decide an election.
	fewProposals := short
	fewProposals.meanProposalGap = 2 * time.Second
	skewedClocks := fewProposals
	skewedClocks.clockRateError, skewedClocks.maxClockDrift = 0.2, 0.2
	earlyLoss := short
	earlyLoss.earlyFolderLoss = true
	// The commit of an older term's entry, as in figure 8 of the Raft paper.
	figure8 := defaultOptions(5, 0)
	figure8.faultPeriod, figure8.batchBytes, figure8.skipProgressCheck = 8*time.Second, 1, true
	withSpares := defaultOptions(5, 2)
	withSpares.faultPeriod, withSpares.skipProgressCheck = 8*time.Second, true
	allFaults := schedule{meanGap: 120 * ms, maxLength: 1500 * ms}
	isolations := schedule{meanGap: 400 * ms, maxLength: 1500 * ms, kinds: []faultKind{faultIsolateLeader}}
	pairCuts := schedule{meanGap: 200 * ms, maxLength: 1500 * ms, kinds: []faultKind{faultCutPair}}
	briefCrashes := schedule{meanGap: 80 * ms, maxLength: 1500 * ms, maxCrash: 100 * ms, kinds: []faultKind{faultCrash, faultCutPair}}
	crashes := schedule{meanGap: 50 * ms, maxLength: 300 * ms, kinds: []faultKind{faultCrash, faultCrashLeader}}
	leaderCrashes := schedule{
		meanGap: 60 * ms, maxLength: 400 * ms,
		kinds: []faultKind{faultCrashLeader, faultCrashLeader, faultCrashLeader, faultCrash, faultIsolateLeader},
	}
	membershipChanges := schedule{
		meanGap: 30 * ms, maxLength: 800 * ms,
		kinds: []faultKind{faultChange, faultChange, faultChange, faultChange, faultPartition, faultIsolateLeader},
	}
	folderLosses := schedule{meanGap: 200 * ms, maxLength: 3000 * ms, kinds: []faultKind{faultLoseFolder, faultCutLink, faultCutLink}}
	earlyLosses := schedule{meanGap: 80 * ms, maxLength: 1500 * ms, early: true, kinds: []faultKind{faultLoseFolder, faultCrash, faultCutPair}}
	slowNetwork := short
	slowNetwork.delayRate = 0.3
	slowSync := short
	slowSync.maxSync = 60 * ms
	figure8.ownTermLossRate, figure8.maxSync = 0.85, 2*ms
	return []safeguard{
		{"new identity for a new data folder", short, allFaults, 1, 60, func(o *options) { o.reuseIdentity = true }},
		{"sync before sending", slowSync, crashes, 1, 60, func(o *options) { o.disabled.syncBeforeSend = true }},
		{"lease margin for clock drift", skewedClocks, isolations, 1, 200, func(o *options) { o.disabled.clockMargin = true }},
		{"no votes during a lease", fewProposals, pairCuts, 1, 60, func(o *options) { o.disabled.voteLease = true }},
		{"no votes after a start", fewProposals, briefCrashes, 1, 200, func(o *options) { o.disabled.startWait = true }},
		{"lease counted from the send time", slowNetwork, isolations, 1, 200, func(o *options) { o.disabled.leaseFromSend = true }},
		{"only entries of the current term commit by majority", figure8, leaderCrashes, 1, 100, func(o *options) { o.disabled.ownTermCommit = true }},
		{"reads confirmed by a majority", short, isolations, 1, 60, func(o *options) { o.disabled.readRound = true }},
		{"bootstrap by all initial voters", earlyLoss, earlyLosses, 1, 60, func(o *options) { o.disabled.fullBootstrap = true }},
		{"one membership change at a time", withSpares, membershipChanges, 1, 200, func(o *options) { o.disabled.singleChange = true }},
		{"learners catch up before promotion", short, folderLosses, 1, 100, func(o *options) { o.disabled.catchUp = true }},
	}
}

// TestPreVoteKeepsTermAfterIsolation isolates a follower for several election
// timeouts. With pre-votes the leader keeps its term when the follower returns;
// without them the term rises.
func TestPreVoteKeepsTermAfterIsolation(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		o := defaultOptions(3, 0)
		o.clockRateError, o.lossRate, o.duplicateRate, o.delayRate = 0, 0, 0, 0
		o.disabled.preVote = disabled
		s := newSim(o, 1)
		s.after(0, s.runClient)
		runTo := func(d time.Duration) { s.runUntil(func() bool { return s.now >= d }) }
		runTo(2 * time.Second)
		leader := s.leader()
		term := leader.core.Term()
		s.isolate((leader.index+1)%3, 5*time.Second)
		runTo(10 * time.Second)
		if disturbed := s.leader().core.Term() != term; disturbed != disabled {
			t.Errorf("pre-vote disabled %t: term went from %d to %d", disabled, term, s.leader().core.Term())
		}
	}
}

// TestSameSeedRepeatsRun checks that a seed always gives the same run, so that a
// reported seed reproduces its failure.
func TestSameSeedRepeatsRun(t *testing.T) {
	o := defaultOptions(5, 2)
	p := schedule{meanGap: 100 * time.Millisecond, maxLength: time.Second}
	first, steps := runSimulation(o, 7, p.draw(rand.New(rand.NewPCG(7, 3)), o))
	repeated, repeatedSteps := runSimulation(o, 7, p.draw(rand.New(rand.NewPCG(7, 3)), o))
	if first != repeated || steps != repeatedSteps {
		t.Fatalf("%d steps %q, then %d steps %q", steps, first, repeatedSteps, repeated)
	}
}
