package state

// change executes one statement of an operator.
func (s *State) change(c Change, term uint64) error {
	if err := checkName(c.Noun, c.Name); err != nil {
		return err
	}
	if c.Verb != VerbDeclare && c.Verb != VerbAssign && len(c.Fields) > 0 {
		return refuse(CodeInvalid, "%s %s %s: takes no fields", c.Verb, c.Noun, c.Name)
	}
	switch c.Verb {
	case VerbDeclare:
		return s.declare(c)
	case VerbAssign:
		return s.assign(c, term)
	case VerbDrain:
		return s.drain(c)
	case VerbWithdraw:
		return s.withdraw(c)
	case VerbReplace:
		return s.replace(c)
	}
	return refuse(CodeInvalid, "%q is no verb that changes the state", c.Verb)
}

// assign opens an order that makes an engine run something else.
func (s *State) assign(c Change, term uint64) error {
	if c.Noun != NounEngine {
		return refuse(CodeInvalid, "assign %s: only engines are assigned", c.Noun)
	}
	e, found := s.engines.rows[c.Name]
	if !found {
		return refuse(CodeInvalid, "engine %s: unknown", c.Name)
	}
	o := Order{Engine: c.Name, Term: term, Role: e.Role, Model: e.Model, Adapter: e.Adapter, Revision: e.Revision, Reason: "operator"}
	r := &reader{noun: c.Noun, name: c.Name, fields: c.Fields}
	choice(r, "role", &o.Role, RolePrefill, RoleDecode, RoleMixed)
	r.word("model", &o.Model)
	r.word("adapter", &o.Adapter)
	r.word("revision", &o.Revision)
	if err := r.done("role, model, adapter, revision"); err != nil {
		return err
	}
	if o.Role == e.Role && o.Model == e.Model && o.Adapter == e.Adapter && o.Revision == e.Revision {
		return nil
	}
	_, err := s.Intend(o)
	return err
}

// Phase returns the phase of an object and the version that it has it since.
func (s *State) Phase(noun Noun, name string) (Phase, uint64) {
	switch noun {
	case NounEngine:
		e := s.engines.rows[name]
		return e.Phase, e.Version
	case NounServer:
		v := s.servers.rows[name]
		return v.Phase, v.Version
	case NounMember:
		m := s.members.rows[name]
		return m.Phase, m.Version
	}
	return "", 0
}

func (s *State) setPhase(noun Noun, name string, p Phase) {
	switch noun {
	case NounEngine:
		e := s.engines.rows[name]
		e.Phase = p
		put(s, &s.engines, e)
	case NounServer:
		v := s.servers.rows[name]
		v.Phase = p
		put(s, &s.servers, v)
	case NounMember:
		m := s.members.rows[name]
		m.Phase = p
		put(s, &s.members, m)
	}
}

func (s *State) hasPhase(c Change) error {
	if c.Noun != NounEngine && c.Noun != NounServer && c.Noun != NounMember {
		return refuse(CodeInvalid, "%s %s: only engines, servers and members are drained", c.Verb, c.Noun)
	}
	if phase, _ := s.Phase(c.Noun, c.Name); phase == "" {
		return refuse(CodeInvalid, "%s %s: unknown", c.Noun, c.Name)
	}
	return nil
}

// leave marks an object as leaving. While an order is open on an engine the
// mark is made when the order closes.
func (s *State) leave(noun Noun, name string, edit func(*note)) {
	k := removedKey{noun, name}
	n := s.notes[k]
	n.Noun, n.Name = noun, name
	n.Drained = true
	edit(&n)
	s.notes[k] = n
	if p, _ := s.Phase(noun, name); p == PhaseServing || p == PhaseLost {
		s.setPhase(noun, name, PhaseLeaving)
	}
}

func (s *State) drain(c Change) error {
	if err := s.hasPhase(c); err != nil {
		return err
	}
	s.leave(c.Noun, c.Name, func(*note) {})
	return nil
}

func (s *State) withdraw(c Change) error {
	switch c.Noun {
	case NounService, NounModel, NounAccount:
		return s.remove(c)
	}
	if err := s.hasPhase(c); err != nil {
		return err
	}
	s.leave(c.Noun, c.Name, func(n *note) { n.Withdraw = true })
	return nil
}

// remove takes away an object that nothing waits for.
func (s *State) remove(c Change) error {
	switch c.Noun {
	case NounService:
		if !s.services.has(c.Name) {
			return refuse(CodeInvalid, "service %s: unknown", c.Name)
		}
		drop(s, &s.services, c.Name)
	case NounModel:
		if !s.models.has(c.Name) {
			return refuse(CodeInvalid, "model %s: unknown", c.Name)
		}
		for _, v := range s.services.after(0) {
			if v.Model == c.Name {
				return refuse(CodeInvalid, "model %s: service %s uses it", c.Name, v.Name)
			}
		}
		drop(s, &s.models, c.Name)
	case NounAccount:
		return s.removeAccount(c.Name)
	}
	return nil
}

func (s *State) removeAccount(name string) error {
	a, found := s.accounts.rows[name]
	if !found {
		return refuse(CodeInvalid, "account %s: unknown", name)
	}
	operators := 0
	for _, v := range s.accounts.rows {
		if v.Operator {
			operators++
		}
	}
	if a.Operator && operators == 1 {
		return refuse(CodeInvalid, "account %s: the last operator account stays", name)
	}
	drop(s, &s.accounts, name)
	return nil
}

// replace withdraws one object once another serves in its place.
func (s *State) replace(c Change) error {
	if c.Noun != NounEngine && c.Noun != NounServer {
		return refuse(CodeInvalid, "replace %s: only engines and servers are replaced", c.Noun)
	}
	if err := s.hasPhase(c); err != nil {
		return err
	}
	if c.Target == c.Name {
		return refuse(CodeInvalid, "%s %s: can't replace itself", c.Noun, c.Name)
	}
	p, _ := s.Phase(c.Noun, c.Target)
	if p == "" {
		return refuse(CodeInvalid, "%s %s: unknown", c.Noun, c.Target)
	}
	if p == PhaseLeaving || p == PhaseGone {
		return refuse(CodeInvalid, "%s %s: is leaving", c.Noun, c.Target)
	}
	k := removedKey{c.Noun, c.Name}
	n := s.notes[k]
	n.Noun, n.Name, n.Target = c.Noun, c.Name, c.Target
	s.notes[k] = n
	return nil
}
