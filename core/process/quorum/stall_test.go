package quorum

import (
	"testing"
	"time"
)

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
