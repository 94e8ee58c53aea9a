package state

import (
	"slices"
	"time"
)

// Join records what a member tells of itself. A member that an operator
// drained stays leaving, whatever it tells.
func (s *State) Join(m Member) (Member, error) {
	if err := checkName(NounMember, m.Name); err != nil {
		return Member{}, err
	}
	old, found := s.members.rows[m.Name]
	if !found && m.Phase != PhaseServing {
		return Member{}, refuse(CodeInvalid, "member %s: joins as %s", m.Name, m.Phase)
	}
	if s.notes[removedKey{NounMember, m.Name}].Drained {
		m.Phase = PhaseLeaving
	}
	m.Version = old.Version
	if found && old == m {
		return old, nil
	}
	put(s, &s.members, m)
	return s.members.rows[m.Name], nil
}

// Lose marks a member as lost that the leader hasn't heard for its lease, or
// as gone if it was leaving.
func (s *State) Lose(name string) {
	m, found := s.members.rows[name]
	if !found || m.Phase == PhaseLost || m.Phase == PhaseGone {
		return
	}
	if m.Phase == PhaseLeaving {
		s.setPhase(NounMember, name, PhaseGone)
		return
	}
	s.setPhase(NounMember, name, PhaseLost)
}

// Boot makes sure that a first operator account exists.
func (s *State) Boot(name, digest string) {
	if len(s.accounts.rows) > 0 {
		return
	}
	put(s, &s.accounts, Account{Name: name, Digest: digest, Operator: true})
}

// Hit records that an engine was lost while it ran a request.
func (s *State) Hit(fingerprint, engine string) Strike {
	s.expire()
	v := s.strikes.rows[fingerprint]
	v.Fingerprint = fingerprint
	if !slices.Contains(v.Engines, engine) {
		v.Engines = append(slices.Clone(v.Engines), engine)
	}
	v.Until = s.now.Add(strikeLife)
	put(s, &s.strikes, v)
	return s.strikes.rows[fingerprint]
}

// Clear forgets the strikes of a request that succeeded.
func (s *State) Clear(fingerprint string) {
	drop(s, &s.strikes, fingerprint)
}

// expire drops strikes whose time has passed, and the first to end when there
// are too many.
func (s *State) expire() {
	first, until := "", time.Time{}
	for _, v := range s.strikes.after(0) { // sorted: tombstones must be the same on all members
		if v.Until.Before(s.now) {
			drop(s, &s.strikes, v.Fingerprint)
			continue
		}
		if first == "" || v.Until.Before(until) {
			first, until = v.Fingerprint, v.Until
		}
	}
	if len(s.strikes.rows) >= maxStrikes {
		drop(s, &s.strikes, first)
	}
}

// Decide records a decision of the planner.
func (s *State) Decide(d Decision) Decision {
	s.decided++
	d.Number, d.At = s.decided, s.now
	s.decisions = bound(append(s.decisions, d), maxDecisions)
	return d
}

// Decisions returns the last decisions, oldest first.
func (s *State) Decisions() []Decision {
	return slices.Clone(s.decisions)
}

// Changed returns when the last order on an engine ended.
func (s *State) Changed(engine string) time.Time {
	return s.notes[removedKey{NounEngine, engine}].Changed
}
