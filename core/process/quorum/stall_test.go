package quorum

import (
	"testing"
	"time"
)

// slowDisks makes each write of members take this long from now on.
func (s *sim) slowDisks(write time.Duration, members ...*simMember) {
	for _, m := range members {
		m.stallDisk(write)
	}
	s.after(simTick, func() { s.slowDisks(write, members...) })
}

// A leader whose disk hung kept the lead, although it could answer for nothing.
func TestLeaderWithStalledDiskIsReplaced(t *testing.T) {
	for _, o := range []options{defaultOptions(3, 0), defaultOptions(5, 0), defaultOptions(5, 2)} {
		for seed := range uint64(20) {
			s := newSim(o, seed)
			s.after(0, s.runClient)
			s.runUntil(func() bool { return s.now >= 3*time.Second })
			stalled := s.leader()
			stalled.stallDisk(time.Minute)
			s.after(0, func() { stalled.step(Propose{Commands: []Command{{ID: 1 << 40, Data: []byte("12345678")}}}) })
			limit := s.now + (stalledWriteTimeouts+2)*simElection
			s.runUntil(func() bool { return s.now >= limit })
			acked := s.invariants.ackCount
			s.runUntil(func() bool { return s.now >= limit+simElection })
			if s.leader() == stalled || s.invariants.ackCount == acked {
				t.Errorf("%d voters, seed %d: %s", o.voters, seed, s.describe())
			}
		}
	}
}

// A leader handed over while its group served with slow disks, and no other one got its votes in time.
func TestLeaderStaysWhileOthersWriteSlowly(t *testing.T) {
	for _, write := range []time.Duration{2 * simElection, 5 * simElection} {
		for seed := range uint64(5) {
			o := defaultOptions(3, 0)
			o.lossRate, o.duplicateRate, o.delayRate = 0, 0, 0
			s := newSim(o, seed)
			s.after(0, s.runClient)
			s.runUntil(func() bool { return s.now >= 3*time.Second })
			leader, slow := s.leader(), []*simMember{s.leader()}
			for _, m := range s.members {
				if m != leader && len(slow) < 2 {
					slow = append(slow, m)
				}
			}
			end := s.now + 20*time.Second
			s.slowDisks(write, slow...)
			s.runUntil(func() bool { return s.now >= end-10*time.Second })
			acked := s.invariants.ackCount
			s.runUntil(func() bool { return s.now >= end })
			if s.invariants.ackCount == acked {
				t.Errorf("writes of %v, seed %d: none acknowledged in 10 s: %s", write, seed, s.describe())
			}
		}
	}
}

// A leader stepped down since the others answered its heartbeats only once their writes were durable.
func TestLeaderStaysWhileAllWriteSlowly(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(10) {
			o := defaultOptions(voters, 0)
			o.lossRate, o.duplicateRate, o.delayRate, o.replaceAfter = 0, 0, 0, 0
			s := newSim(o, seed)
			s.after(0, s.runClient)
			s.runUntil(func() bool { return s.now >= 3*time.Second })
			leader, term := s.leader(), s.leader().core.hardState.Term
			end := s.now + 20*time.Second
			s.slowDisks(2*majorityLossTimeouts*simElection, s.members...)
			s.runUntil(func() bool { return s.now >= end })
			if s.leader() != leader || leader.core.hardState.Term != term {
				t.Errorf("%d voters, seed %d: term %d became another one: %s", voters, seed, term, s.describe())
			}
		}
	}
}

// Candidates gave a term up before votes were durable, so slow disks elected nobody.
func TestSlowDisksElectLeader(t *testing.T) {
	const limit = 15 * time.Second // the platform's for a recovery
	for _, voters := range []int{3, 5} {
		for _, write := range []time.Duration{500 * time.Millisecond, time.Second} {
			for seed := range uint64(10) {
				o := defaultOptions(voters, 0)
				o.replaceAfter = 0
				s := newSim(o, seed)
				s.after(0, s.runClient)
				s.runUntil(func() bool { return s.now >= 3*time.Second })
				s.slowDisks(write, s.members...)
				s.leader().crash()
				start, acked := s.now, s.invariants.ackCount
				s.runUntil(func() bool { return s.invariants.ackCount > acked || s.now >= start+limit })
				if s.invariants.ackCount == acked {
					t.Errorf("%d voters, writes of %v, seed %d: none acknowledged in %v: %s", voters, write, seed, limit, s.describe())
				}
			}
		}
	}
}
