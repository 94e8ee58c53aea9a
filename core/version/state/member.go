package state

import (
	"slices"
	"time"
)

// Join registers a member or updates its record. A member that an operator
// drained stays leaving, whatever phase it reports.
func (s *State) Join(m Member) (Member, error) {
	if err := checkName(NounMember, m.Name); err != nil {
		return Member{}, err
	}
	old, found := s.members.rows[m.Name]
	if !found && m.Phase != PhaseServing {
		return Member{}, refuse(CodeInvalid, "member %s: joins as %s", m.Name, m.Phase)
	}
	if s.lifecycles[objectKey{NounMember, m.Name}].Drained {
		m.Phase = PhaseLeaving
	}
	m.Version = old.Version
	if found && old == m {
		return old, nil
	}
	put(s, &s.members, m)
	return s.members.rows[m.Name], nil
}

// MarkLost marks a member whose lease has expired as lost, or as gone if it was
// leaving.
func (s *State) MarkLost(name string) {
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

// EnsureOperator creates the first operator account if there are no accounts yet.
// digest is that of the account's token.
func (s *State) EnsureOperator(name, digest string) {
	if len(s.accounts.rows) > 0 {
		return
	}
	put(s, &s.accounts, Account{Name: name, TokenDigest: digest, Operator: true})
}

// AddStrike adds a strike to a request because an engine was lost while it ran the
// request.
func (s *State) AddStrike(fingerprint, engine string) Strike {
	s.expireStrikes()
	v, known := s.strikes.rows[fingerprint]
	if !known && len(s.strikes.rows) >= maxStrikes {
		drop(s, &s.strikes, s.earliestStrike())
	}
	v.Fingerprint = fingerprint
	if !slices.Contains(v.LostEngines, engine) {
		v.LostEngines = append(slices.Clone(v.LostEngines), engine)
	}
	v.ExpiresAt = s.now.Add(strikeTTL)
	put(s, &s.strikes, v)
	return s.strikes.rows[fingerprint]
}

// ClearStrikes removes the strikes of a request that has succeeded.
func (s *State) ClearStrikes(fingerprint string) {
	drop(s, &s.strikes, fingerprint)
}

// expireStrikes removes expired strikes.
func (s *State) expireStrikes() {
	expired := false
	for _, v := range s.strikes.rows {
		expired = expired || v.ExpiresAt.Before(s.now)
	}
	if !expired {
		return
	}
	for _, v := range s.strikes.after(0) { // sorted: replicas must write the same tombstones
		if v.ExpiresAt.Before(s.now) {
			drop(s, &s.strikes, v.Fingerprint)
		}
	}
}

// earliestStrike returns the fingerprint of the strikes that expire first.
func (s *State) earliestStrike() string {
	earliest, expiry := "", time.Time{}
	for _, v := range s.strikes.after(0) {
		if earliest == "" || v.ExpiresAt.Before(expiry) {
			earliest, expiry = v.Fingerprint, v.ExpiresAt
		}
	}
	return earliest
}

// RecordDecision records a decision of the planner and returns it with its number
// and time.
func (s *State) RecordDecision(d Decision) Decision {
	s.lastDecision++
	d.Number, d.At = s.lastDecision, s.now
	s.decisions = keepLast(append(s.decisions, d), maxDecisions)
	return d
}

// Decisions returns the latest decisions, oldest first.
func (s *State) Decisions() []Decision {
	return slices.Clone(s.decisions)
}

// LastOrderClosed returns when the last order to an engine was closed.
func (s *State) LastOrderClosed(engine string) time.Time {
	return s.lifecycles[objectKey{NounEngine, engine}].LastOrderClosed
}
