package state

// applyChange applies one statement of an operator.
func (s *State) applyChange(c Change, term uint64) error {
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

// assign opens an order that changes the role, model, adapter or revision of an
// engine. It does nothing if the engine already runs what is asked for.
func (s *State) assign(c Change, term uint64) error {
	if c.Noun != NounEngine {
		return refuse(CodeInvalid, "assign %s: only engines are assigned", c.Noun)
	}
	e, found := s.engines.rows[c.Name]
	if !found {
		return refuse(CodeInvalid, "engine %s: unknown", c.Name)
	}
	o := Order{Engine: c.Name, Term: term, Role: e.Role, Model: e.Model, Adapter: e.Adapter, Revision: e.Revision, Reason: "operator"}
	p := &fieldParser{noun: c.Noun, name: c.Name, fields: c.Fields}
	oneOf(p, "role", &o.Role, RolePrefill, RoleDecode, RoleMixed)
	p.identifier("model", &o.Model)
	p.identifier("adapter", &o.Adapter)
	p.identifier("revision", &o.Revision)
	if err := p.finish("role, model, adapter, revision"); err != nil {
		return err
	}
	if o.Role == e.Role && o.Model == e.Model && o.Adapter == e.Adapter && o.Revision == e.Revision {
		return nil
	}
	_, err := s.OpenOrder(o)
	return err
}

// Phase returns the phase of an object, "" if it doesn't exist or has none, and
// the version of the object's last change.
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

// setPhase sets the phase of an existing object.
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

// checkDrainable refuses to drain an object that doesn't exist or whose noun has
// no phases.
func (s *State) checkDrainable(c Change) error {
	if c.Noun != NounEngine && c.Noun != NounServer && c.Noun != NounMember {
		return refuse(CodeInvalid, "%s %s: only engines, servers and members are drained", c.Verb, c.Noun)
	}
	if phase, _ := s.Phase(c.Noun, c.Name); phase == "" {
		return refuse(CodeInvalid, "%s %s: unknown", c.Noun, c.Name)
	}
	return nil
}

// markLeaving drains an object and edits its lifecycle. An engine with an open
// order starts to leave when the order closes.
func (s *State) markLeaving(noun Noun, name string, edit func(*lifecycle)) {
	key := objectKey{noun, name}
	l := s.lifecycles[key]
	l.Noun, l.Name = noun, name
	l.Drained = true
	edit(&l)
	s.lifecycles[key] = l
	if p, _ := s.Phase(noun, name); p == PhaseServing || p == PhaseLost {
		s.setPhase(noun, name, PhaseLeaving)
	}
}

func (s *State) drain(c Change) error {
	if err := s.checkDrainable(c); err != nil {
		return err
	}
	s.markLeaving(c.Noun, c.Name, func(*lifecycle) {})
	return nil
}

func (s *State) withdraw(c Change) error {
	switch c.Noun {
	case NounService, NounModel, NounAccount:
		return s.removeObject(c)
	}
	if err := s.checkDrainable(c); err != nil {
		return err
	}
	s.markLeaving(c.Noun, c.Name, func(l *lifecycle) { l.RemoveWhenIdle = true })
	return nil
}

// removeObject removes an object of a noun without phases, which has nothing to
// drain.
func (s *State) removeObject(c Change) error {
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
	operatorAccounts := 0
	for _, v := range s.accounts.rows {
		if v.Operator {
			operatorAccounts++
		}
	}
	if a.Operator && operatorAccounts == 1 {
		return refuse(CodeInvalid, "account %s: the last operator account stays", name)
	}
	drop(s, &s.accounts, name)
	return nil
}

// replace records that an object is to be withdrawn once the target, which takes
// its place, serves.
func (s *State) replace(c Change) error {
	if c.Noun != NounEngine && c.Noun != NounServer {
		return refuse(CodeInvalid, "replace %s: only engines and servers are replaced", c.Noun)
	}
	if err := s.checkDrainable(c); err != nil {
		return err
	}
	if c.Replacement == c.Name {
		return refuse(CodeInvalid, "%s %s: can't replace itself", c.Noun, c.Name)
	}
	p, _ := s.Phase(c.Noun, c.Replacement)
	if p == "" {
		return refuse(CodeInvalid, "%s %s: unknown", c.Noun, c.Replacement)
	}
	if p == PhaseLeaving || p == PhaseGone {
		return refuse(CodeInvalid, "%s %s: is leaving", c.Noun, c.Replacement)
	}
	key := objectKey{c.Noun, c.Name}
	l := s.lifecycles[key]
	l.Noun, l.Name, l.Replacement = c.Noun, c.Name, c.Replacement
	s.lifecycles[key] = l
	return nil
}
