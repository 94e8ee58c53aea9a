package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// declare creates an object or updates the given fields of an existing one.
func (s *State) declare(c Change) error {
	p := &fieldParser{noun: c.Noun, name: c.Name, fields: c.Fields}
	switch c.Noun {
	case NounService:
		return s.declareService(c.Name, p)
	case NounModel:
		return s.declareModel(c.Name, p)
	case NounEngine:
		return s.declareEngine(c.Name, p)
	case NounServer:
		return s.declareServer(c.Name, p)
	case NounAccount:
		return s.declareAccount(c.Name, p)
	case NounMember:
		return s.declareMember(c.Name, p)
	}
	return refuse(CodeInvalid, "declare %s: not a thing to declare", c.Noun)
}

func (s *State) declareService(name string, p *fieldParser) error {
	v, found := s.services.rows[name]
	if !found {
		v = Service{Name: name, Kind: KindModel, Class: ClassFirst, Deadline: defaultDeadline, FirstTokenDeadline: defaultFirstToken}
	}
	oneOf(p, "kind", &v.Kind, KindModel, KindPlain)
	p.identifier("model", &v.Model)
	p.identifier("adapter", &v.Adapter)
	p.identifier("revision", &v.Revision)
	oneOf(p, "class", &v.Class, ClassFirst, ClassBatch)
	p.duration("deadline", &v.Deadline)
	p.duration("first", &v.FirstTokenDeadline)
	p.boolean("once", &v.AtMostOnce)
	switch {
	case v.Kind == KindModel:
		p.require("model", v.Model)
		if v.AtMostOnce {
			p.fail("once", "only plain services have calls that run once")
		}
	case v.Model != "" || v.Adapter != "" || v.Revision != "":
		p.fail("model", "a plain service has no model, adapter or revision")
	}
	if err := p.finish("kind, model, adapter, revision, class, deadline, first, once"); err != nil {
		return err
	}
	put(s, &s.services, v)
	return nil
}

func (s *State) declareModel(name string, p *fieldParser) error {
	v, found := s.models.rows[name]
	if !found {
		v = Model{Name: name}
	}
	p.identifier("revision", &v.Revision)
	adapters := strings.Join(v.Adapters, ",")
	p.freeText("adapters", &adapters)
	if err := p.finish("revision, adapters"); err != nil {
		return err
	}
	v.Adapters = nil
	for a := range strings.SplitSeq(adapters, ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if err := checkName(NounModel, a); err != nil {
			return err
		}
		v.Adapters = append(v.Adapters, a)
	}
	slices.Sort(v.Adapters)
	v.Adapters = slices.Compact(v.Adapters)
	put(s, &s.models, v)
	return nil
}

// declareEngine creates an engine with its current role, model, adapter and
// revision. For a known engine only assign changes these, since the engine has
// to be sent an order.
func (s *State) declareEngine(name string, p *fieldParser) error {
	v, found := s.engines.rows[name]
	old := v
	if !found {
		v = Engine{Name: name, Role: RoleMixed, Phase: PhaseServing}
	}
	p.httpURL("url", &v.URL)
	p.identifier("centre", &v.Centre)
	oneOf(p, "role", &v.Role, RolePrefill, RoleDecode, RoleMixed)
	p.identifier("model", &v.Model)
	p.identifier("adapter", &v.Adapter)
	p.identifier("revision", &v.Revision)
	p.identifier("build", &v.Build)
	p.boolean("fenced", &v.ChecksFencing)
	p.require("url", v.URL)
	if found && (v.Role != old.Role || v.Model != old.Model || v.Adapter != old.Adapter || v.Revision != old.Revision) {
		p.fail("role", "what a known engine runs is changed by assign")
	}
	if err := p.finish("url, centre, role, model, adapter, revision, build, fenced"); err != nil {
		return err
	}
	if _, open := s.openOrders[name]; open && (v.URL != old.URL || v.ChecksFencing != old.ChecksFencing) {
		return refuse(CodeOrderOpen, "engine %s: an order is open", name)
	}
	s.undoDrain(NounEngine, name, &v.Phase)
	put(s, &s.engines, v)
	return nil
}

func (s *State) declareServer(name string, p *fieldParser) error {
	v, found := s.servers.rows[name]
	if !found {
		v = Server{Name: name, Phase: PhaseServing}
	}
	p.httpURL("url", &v.URL)
	p.identifier("centre", &v.Centre)
	p.identifier("service", &v.Service)
	p.require("url", v.URL)
	p.require("service", v.Service)
	if err := p.finish("url, centre, service"); err != nil {
		return err
	}
	s.undoDrain(NounServer, name, &v.Phase)
	put(s, &s.servers, v)
	return nil
}

func (s *State) declareAccount(name string, p *fieldParser) error {
	v, found := s.accounts.rows[name]
	if !found {
		v = Account{Name: name}
	}
	p.freeText("digest", &v.TokenDigest)
	token := ""
	p.freeText("token", &token)
	if token != "" {
		v.TokenDigest = TokenDigest(token)
	}
	p.wholeNumber("tokens", &v.TokensPerSecond)
	p.wholeNumber("requests", &v.RequestsPerSecond)
	p.boolean("operator", &v.Operator)
	p.require("digest", v.TokenDigest)
	if _, err := hex.DecodeString(v.TokenDigest); err != nil || len(v.TokenDigest) != digestHexLen {
		p.fail("digest", "is no hex SHA-256")
	}
	if err := p.finish("digest, token, tokens, requests, operator"); err != nil {
		return err
	}
	put(s, &s.accounts, v)
	return nil
}

// TokenDigest returns the hex SHA-256 of a bearer token. The state stores only
// this digest.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// declareMember undoes a drain. It creates no member: instances join by
// themselves.
func (s *State) declareMember(name string, p *fieldParser) error {
	v, found := s.members.rows[name]
	if !found {
		return refuse(CodeInvalid, "member %s: unknown; members join by themselves", name)
	}
	if err := p.finish("no fields"); err != nil {
		return err
	}
	if v.Phase == PhaseLeaving {
		s.undoDrain(NounMember, name, &v.Phase)
	}
	put(s, &s.members, v)
	return nil
}

// undoDrain cancels the drain, withdrawal or replacement of an object and makes a
// leaving one serve again.
func (s *State) undoDrain(noun Noun, name string, phase *Phase) {
	key := objectKey{noun, name}
	l, found := s.lifecycles[key]
	if !found {
		return
	}
	l.RemoveWhenIdle, l.Replacement, l.Drained = false, "", false
	s.lifecycles[key] = l
	if *phase == PhaseLeaving {
		*phase = PhaseServing
	}
}
