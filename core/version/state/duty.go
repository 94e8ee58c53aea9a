package state

// Duty is a leader's claim on the calls to the platform that one instance makes for all.
type Duty struct {
	Token  uint64 `cbor:"1,keyasint"` // fencing token, higher than that of any earlier term
	Term   uint64 `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint"`           // name of the leader
	First  bool   `cbor:"4,keyasint,omitempty"` // no leader had the duties before
}

// TakeDuty allocates the fencing token of a term. A term has one leader, which gets the
// same token if it asks again. Claims of an earlier term than the last are refused. Terms
// only rise, so that tokens do even if an older build, which doesn't keep the last claim,
// has written a snapshot.
func (s *State) TakeDuty(term uint64, holder string) (Duty, error) {
	d := s.duty
	switch {
	case term < d.Term || term == 0:
		return Duty{}, refuse(CodeConflict, "duties of term %d: term %d has them", term, d.Term)
	case term == d.Term && holder != d.Holder:
		return Duty{}, refuse(CodeConflict, "duties of term %d: %s has them, not %s", term, d.Holder, holder)
	case term > d.Term:
		s.duty = Duty{Token: max(d.Token+1, term), Term: term, Holder: holder, First: d.Term == 0}
	}
	return s.duty, nil
}

// Duty returns the last claim.
func (s *State) Duty() Duty {
	return s.duty
}
