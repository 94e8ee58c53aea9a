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

// Members returns all members by name.
func (s *State) Members() []Member {
	return s.members.after(0)
}
