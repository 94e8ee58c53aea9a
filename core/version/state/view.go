package state

// Engine returns an engine by name.
func (s *State) Engine(name string) (Engine, bool) {
	e, found := s.engines.rows[name]
	return e, found
}

// Account returns an account by name.
func (s *State) Account(name string) (Account, bool) {
	a, found := s.accounts.rows[name]
	return a, found
}

// Member returns a member by name.
func (s *State) Member(name string) (Member, bool) {
	m, found := s.members.rows[name]
	return m, found
}

// Members returns all members, sorted by name.
func (s *State) Members() []Member {
	return s.members.after(0)
}

// CompareMember returns the record of a member and reports whether a Join with m
// would change nothing.
func (s *State) CompareMember(m Member) (Member, bool) {
	old, found := s.members.rows[m.Name]
	if s.lifecycles[objectKey{NounMember, m.Name}].Drained {
		m.Phase = PhaseLeaving
	}
	m.Version = old.Version
	return old, found && old == m
}

// EntryCount returns the number of entry instances in any phase.
func (s *State) EntryCount() int {
	n := 0
	for _, m := range s.members.rows {
		if m.Kind == MemberEntry {
			n++
		}
	}
	return n
}
