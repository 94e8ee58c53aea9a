package state

// RaiseLevel sets the level of commands in force. Builds that don't understand a command
// ignore it, so that commands of a level are proposed only once all members of the log
// understand it. A lower level than that in force changes nothing.
func (s *State) RaiseLevel(level uint64) uint64 {
	s.level = max(s.level, level)
	return s.level
}

// Level returns the level of commands in force, 0 in a group that older builds began.
func (s *State) Level() uint64 {
	return s.level
}
