package quorum

import (
	"math/rand/v2"
	"slices"
	"time"
)

// trouble is one fault of a schedule.
type trouble struct {
	at     time.Duration
	kind   troubleKind
	member int
	other  int
	length time.Duration
}

type troubleKind int

const (
	troubleCrash troubleKind = iota
	troublePause
	troubleCut // one way
	troubleSplit
	troubleLose   // the folder is gone
	troubleDamage // the folder is refused
	troubleTransfer
	troubleChange
	troubleLeader // crash whoever leads
	troubleAlone  // cut off whoever leads
	troublePair   // cut between two
	troubleHalves // two against the rest
	troubleKinds
)

// schedule says how faults are drawn.
type schedule struct {
	gap    time.Duration // mean time between faults
	length time.Duration // longest fault
	crash  time.Duration // longest crash, 0 for length
	kinds  []troubleKind // nil for all
	early  bool          // faults from the first moment on
}

func (p schedule) draw(r *rand.Rand, o options) []trouble {
	var all []trouble
	start := 300 * time.Millisecond
	if p.early {
		start = 0
	}
	for at := start; at < o.length; at += time.Duration(r.Int64N(int64(2 * p.gap))) {
		kind := troubleKind(r.IntN(int(troubleKinds)))
		if p.kinds != nil {
			kind = p.kinds[r.IntN(len(p.kinds))]
		}
		length := p.length
		if p.crash > 0 && (kind == troubleCrash || kind == troubleLeader) {
			length = p.crash
		}
		all = append(all, trouble{
			at:     at,
			kind:   kind,
			member: r.IntN(o.voters + o.spares),
			other:  r.IntN(o.voters + o.spares),
			length: time.Duration(r.Int64N(int64(length))),
		})
	}
	return all
}

// cause brings a fault about.
func (s *sim) cause(t trouble) {
	m := s.members[t.member]
	switch t.kind {
	case troubleCrash:
		m.crashFor(t.length)
	case troubleLeader:
		if m := s.leader(); m != nil {
			m.crashFor(t.length)
		}
	case troubleAlone:
		if m := s.leader(); m != nil {
			s.isolate(m.number, t.length)
		}
	case troublePause:
		m.paused = true
		s.at(t.length, m.resume)
	case troubleCut:
		s.cut(t.member, t.other, t.length)
	case troublePair:
		s.cutPair(t.member, t.other, t.length)
	case troubleHalves:
		for i := range s.members {
			if i != t.member && i != t.other {
				s.cutPair(i, t.member, t.length)
				s.cutPair(i, t.other, t.length)
			}
		}
	case troubleSplit:
		s.isolate(t.member, t.length)
	case troubleLose, troubleDamage:
		if s.mayLose(m) {
			m.crash()
			m.newFolder(t.kind == troubleLose)
			s.at(t.length, m.bootIfDead)
		}
	case troubleTransfer:
		if m.alive && !m.paused {
			m.step(Transfer{})
		}
	case troubleChange:
		s.change(t)
	}
}

// leader returns the leader of the newest term.
func (s *sim) leader() *simMember {
	var found *simMember
	for _, m := range s.members {
		if m.alive && m.core.Role() == RoleLeader && (found == nil || m.core.Term() > found.core.Term()) {
			found = m
		}
	}
	return found
}

func (s *sim) isolate(member int, length time.Duration) {
	for i := range s.members {
		s.cutPair(member, i, length)
	}
}

func (s *sim) cutPair(a, b int, length time.Duration) {
	s.cut(a, b, length)
	s.cut(b, a, length)
}

func (s *sim) cut(from, to int, length time.Duration) {
	s.cuts[[2]int{from, to}] = true
	s.at(length, func() { delete(s.cuts, [2]int{from, to}) })
}

func (s *sim) change(t trouble) {
	kind := ChangeKind(1 + t.other%3)
	name := s.members[t.member].name
	for _, m := range s.members {
		if !m.alive || m.paused || m.core.Role() != RoleLeader {
			continue
		}
		next, err := m.core.changed(kind, name)
		if err != nil || next.Voters() < 2 || !s.stands(next, nil) {
			continue
		}
		s.ids++
		m.step(Change{ID: s.ids, Kind: kind, Name: name})
	}
}

// stands tells whether a majority of the voters' folders exists, but for one.
func (s *sim) stands(c Config, but *simMember) bool {
	return c.sets().majority(func(identity string) bool {
		return slices.ContainsFunc(s.members, func(m *simMember) bool { return m != but && m.identity == identity })
	})
}

// mayLose tells whether a majority of folders is left without this one. A
// group that lost more stands still by design.
func (s *sim) mayLose(m *simMember) bool {
	if s.options.earlyLoss {
		// A minority may lose its folders at any time, the rest never.
		if !s.lossy[m.number] && len(s.lossy) < (s.options.voters-1)/2 {
			s.lossy[m.number] = true
		}
		return s.lossy[m.number]
	}
	for _, other := range s.members {
		if other.core.Group() == "" || other.core.Commit() == 0 {
			return false
		}
		for _, p := range other.core.configs {
			if len(p.config.Members) > 0 && !s.stands(p.config, m) {
				return false
			}
		}
	}
	return true
}
