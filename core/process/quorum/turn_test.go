package quorum

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Members that were away one after the other, never two at once, must not leave a group that
// waits for one of them.
func TestMembersAwayInTurn(t *testing.T) {
	for _, shape := range [][2]int{{3, 0}, {3, 1}, {3, 2}, {5, 0}, {5, 2}} {
		for seed := range uint64(max(*soakSeeds, 5)) {
			o := defaultOptions(shape[0], shape[1])
			o.openMembership, o.targetVoters, o.founding = true, o.voters, true
			o.replaceAfter = 4 * simElection
			s := newSim(o, seed)
			s.after(0, s.runClient)
			s.runUntil(func() bool { return s.now >= 3*time.Second })
			// Long enough for a replacement and an election that fails.
			if longest, limit := s.awayInTurn(rand.New(rand.NewPCG(seed, 13))), o.replaceAfter+6*simElection; longest > limit {
				t.Errorf("%v, seed %d: %v without an acknowledgement, limit %v", shape, seed, longest, limit)
			}
			if l := s.leader(); l == nil || l.core.CommittedConfig().VoterCount() != o.voters || l.core.Config().IsJoint() {
				t.Errorf("%v, seed %d: %s", shape, seed, s.describe())
			}
		}
	}
}

// awayInTurn crashes the members, or stalls their disks, for 1 to 10 election timeouts, with
// gaps of 0 to 5. It returns the longest time without an acknowledgement.
func (s *sim) awayInTurn(draw *rand.Rand) (longest time.Duration) {
	last, acked := s.now, s.invariants.ackCount
	runFor := func(d time.Duration) {
		end := s.now + d
		s.runUntil(func() bool {
			if s.invariants.ackCount > acked {
				last, acked = s.now, s.invariants.ackCount
			}
			longest = max(longest, s.now-last)
			return s.now >= end
		})
	}
	for n := range 4 * len(s.members) {
		m := s.members[n%len(s.members)]
		if l := s.leader(); l != nil && draw.IntN(3) == 0 {
			m = l
		}
		away := simElection + time.Duration(draw.Int64N(int64(9*simElection)))
		if draw.IntN(4) == 0 {
			m.stallDisk(away)
		} else {
			m.crashFor(away)
		}
		runFor(away + max(0, time.Duration(draw.Int64N(int64(8*simElection)))-3*simElection))
	}
	runFor(s.options.replaceAfter + 6*simElection)
	return longest
}
