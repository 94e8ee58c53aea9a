package quorum

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a fault or operation injected into a run.
type fault struct {
	at     time.Duration
	kind   faultKind
	member int
	other  int
	length time.Duration
}

type faultKind int

const (
	faultCrash faultKind = iota
	faultPause
	faultCutLink         // cuts one direction of a link
	faultIsolate         // cuts off one member
	faultLoseFolder      // the data folder is lost; the new one may bootstrap
	faultRefuseFolder    // the data folder is damaged and refused; the new one may not bootstrap
	faultTransfer        // asks for a leadership transfer
	faultChange          // asks for a membership change
	faultCrashLeader     // crashes the current leader
	faultIsolateLeader   // cuts off the current leader
	faultCutPair         // cuts both directions of a link
	faultPartition       // cuts off two members from the others
	faultStallDisk       // a disk makes nothing durable
	faultStallLeaderDisk // the current leader's disk does
	faultKindCount
)

// schedule is the random distribution from which faults are drawn.
type schedule struct {
	meanGap   time.Duration // mean time between faults
	maxLength time.Duration // maximum duration of a fault
	maxCrash  time.Duration // maximum duration of a crash, 0 for maxLength
	kinds     []faultKind   // nil for all kinds
	early     bool          // faults from the start of the run on
}

func (p schedule) draw(r *rand.Rand, o options) []fault {
	var all []fault
	start := 300 * time.Millisecond
	if p.early {
		start = 0
	}
	for at := start; at < o.faultPeriod; at += time.Duration(r.Int64N(int64(2 * p.meanGap))) {
		kind := faultKind(r.IntN(int(faultKindCount)))
		if p.kinds != nil {
			kind = p.kinds[r.IntN(len(p.kinds))]
		}
		length := p.maxLength
		if p.maxCrash > 0 && (kind == faultCrash || kind == faultCrashLeader) {
			length = p.maxCrash
		}
		all = append(all, fault{
			at:     at,
			kind:   kind,
			member: r.IntN(o.voters + o.spares),
			other:  r.IntN(o.voters + o.spares),
			length: time.Duration(r.Int64N(int64(length))),
		})
	}
	return all
}

// inject starts a fault and schedules its end.
func (s *sim) inject(f fault) {
	m := s.members[f.member]
	switch f.kind {
	case faultCrash:
		m.crashFor(f.length)
	case faultCrashLeader:
		if m := s.leader(); m != nil {
			m.crashFor(f.length)
		}
	case faultIsolateLeader:
		if m := s.leader(); m != nil {
			s.isolate(m.index, f.length)
		}
	case faultStallDisk:
		m.stallDisk(f.length)
	case faultStallLeaderDisk:
		if m := s.leader(); m != nil {
			m.stallDisk(f.length)
		}
	case faultPause:
		m.paused = true
		s.after(f.length, m.resume)
	case faultCutLink:
		s.cut(f.member, f.other, f.length)
	case faultCutPair:
		s.cutPair(f.member, f.other, f.length)
	case faultPartition:
		for i := range s.members {
			if i != f.member && i != f.other {
				s.cutPair(i, f.member, f.length)
				s.cutPair(i, f.other, f.length)
			}
		}
	case faultIsolate:
		s.isolate(f.member, f.length)
	case faultLoseFolder, faultRefuseFolder:
		if s.mayLoseFolder(m) {
			m.crash()
			m.newFolder(f.kind == faultLoseFolder && !s.options.founding)
			s.after(f.length, m.bootIfDown)
		}
	case faultTransfer:
		if m.alive && !m.paused {
			m.step(TransferLeadership{})
		}
	case faultChange:
		s.change(f)
	}
}

// leader returns the live leader with the highest term, nil for none.
func (s *sim) leader() *simMember {
	var found *simMember
	for _, m := range s.members {
		if m.alive && m.core.Role() == RoleLeader && (found == nil || m.core.Term() > found.core.Term()) {
			found = m
		}
	}
	return found
}

// isolate cuts a member off from all others for a time.
func (s *sim) isolate(member int, length time.Duration) {
	for i := range s.members {
		s.cutPair(member, i, length)
	}
}

func (s *sim) cutPair(a, b int, length time.Duration) {
	s.cut(a, b, length)
	s.cut(b, a, length)
}

// cut drops all messages from one member to another for a time.
func (s *sim) cut(from, to int, length time.Duration) {
	s.cutLinks[[2]int{from, to}] = true
	s.after(length, func() { delete(s.cutLinks, [2]int{from, to}) })
}

// change asks each leader for a membership change if a majority of the new
// voters has folders.
func (s *sim) change(f fault) {
	kind := ChangeKind(1 + f.other%3)
	name := s.members[f.member].name
	for _, m := range s.members {
		if !m.alive || m.paused || m.core.Role() != RoleLeader {
			continue
		}
		next, err := m.core.changedConfig(kind, name)
		if err != nil || next.VoterCount() < 2 || !s.folderMajorityExists(next, nil) {
			continue
		}
		s.lastID++
		m.step(Change{ID: s.lastID, Kind: kind, Name: name})
	}
}

// folderMajorityExists reports whether the data folders of a majority of voters
// exist, not counting that of one instance.
func (s *sim) folderMajorityExists(c Config, except *simMember) bool {
	return c.voterSets().hasMajority(func(identity string) bool {
		return slices.ContainsFunc(s.members, func(m *simMember) bool { return m != except && m.identity == identity })
	})
}

// mayLoseFolder reports whether a majority of folders remains without this one.
// A group that lost a majority makes no progress by design.
func (s *sim) mayLoseFolder(m *simMember) bool {
	if s.options.earlyFolderLoss {
		// A fixed minority may lose its folders at any time, the others never.
		if !s.lossyMembers[m.index] && len(s.lossyMembers) < (s.options.voters-1)/2 {
			s.lossyMembers[m.index] = true
		}
		return s.lossyMembers[m.index]
	}
	for _, other := range s.members {
		if other.core.Group() == "" || other.core.CommitIndex() == 0 {
			return false
		}
		for _, p := range other.core.configs {
			if len(p.config.Members) > 0 && !s.folderMajorityExists(p.config, m) {
				return false
			}
		}
	}
	return true
}
