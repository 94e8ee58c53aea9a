package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

func (s *State) declare(c Change) error {
	r := &reader{noun: c.Noun, name: c.Name, fields: c.Fields}
	switch c.Noun {
	case NounService:
		return s.declareService(c.Name, r)
	case NounModel:
		return s.declareModel(c.Name, r)
	case NounEngine:
		return s.declareEngine(c.Name, r)
	case NounServer:
		return s.declareServer(c.Name, r)
	case NounAccount:
		return s.declareAccount(c.Name, r)
	case NounMember:
		return s.declareMember(c.Name, r)
	}
	return refuse(CodeInvalid, "declare %s: not a thing to declare", c.Noun)
}

func (s *State) declareService(name string, r *reader) error {
	v, found := s.services.rows[name]
	if !found {
		v = Service{Name: name, Kind: KindModel, Class: ClassFirst, Deadline: defaultDeadline, First: defaultFirst}
	}
	choice(r, "kind", &v.Kind, KindModel, KindPlain)
	r.word("model", &v.Model)
	r.word("adapter", &v.Adapter)
	r.word("revision", &v.Revision)
	choice(r, "class", &v.Class, ClassFirst, ClassBatch)
	r.duration("deadline", &v.Deadline)
	r.duration("first", &v.First)
	r.flag("once", &v.Once)
	switch {
	case v.Kind == KindModel:
		r.need("model", v.Model)
		if v.Once {
			r.fail("once", "only plain services have calls that run once")
		}
	case v.Model != "" || v.Adapter != "" || v.Revision != "":
		r.fail("model", "a plain service has no model, adapter or revision")
	}
	if err := r.done("kind, model, adapter, revision, class, deadline, first, once"); err != nil {
		return err
	}
	put(s, &s.services, v)
	return nil
}

func (s *State) declareModel(name string, r *reader) error {
	v, found := s.models.rows[name]
	if !found {
		v = Model{Name: name}
	}
	r.word("revision", &v.Revision)
	adapters := strings.Join(v.Adapters, ",")
	r.text("adapters", &adapters)
	if err := r.done("revision, adapters"); err != nil {
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

// declareEngine creates an engine with what it runs now. What a known engine
// runs is changed by assign only, since that takes an order.
func (s *State) declareEngine(name string, r *reader) error {
	v, found := s.engines.rows[name]
	old := v
	if !found {
		v = Engine{Name: name, Role: RoleMixed, Phase: PhaseServing}
	}
	r.address("url", &v.URL)
	r.word("centre", &v.Centre)
	choice(r, "role", &v.Role, RolePrefill, RoleDecode, RoleMixed)
	r.word("model", &v.Model)
	r.word("adapter", &v.Adapter)
	r.word("revision", &v.Revision)
	r.flag("fenced", &v.Fenced)
	r.need("url", v.URL)
	if found && (v.Role != old.Role || v.Model != old.Model || v.Adapter != old.Adapter || v.Revision != old.Revision) {
		r.fail("role", "what a known engine runs is changed by assign")
	}
	if err := r.done("url, centre, role, model, adapter, revision, fenced"); err != nil {
		return err
	}
	if _, open := s.open[name]; open && (v.URL != old.URL || v.Fenced != old.Fenced) {
		return refuse(CodeOpen, "engine %s: an order is open", name)
	}
	s.restore(NounEngine, name, &v.Phase)
	put(s, &s.engines, v)
	return nil
}

func (s *State) declareServer(name string, r *reader) error {
	v, found := s.servers.rows[name]
	if !found {
		v = Server{Name: name, Phase: PhaseServing}
	}
	r.address("url", &v.URL)
	r.word("centre", &v.Centre)
	r.word("service", &v.Service)
	r.need("url", v.URL)
	r.need("service", v.Service)
	if err := r.done("url, centre, service"); err != nil {
		return err
	}
	s.restore(NounServer, name, &v.Phase)
	put(s, &s.servers, v)
	return nil
}

func (s *State) declareAccount(name string, r *reader) error {
	v, found := s.accounts.rows[name]
	if !found {
		v = Account{Name: name}
	}
	r.text("digest", &v.Digest)
	token := ""
	r.text("token", &token)
	if token != "" {
		v.Digest = TokenDigest(token)
	}
	r.count("tokens", &v.Tokens)
	r.count("requests", &v.Requests)
	r.flag("operator", &v.Operator)
	r.need("digest", v.Digest)
	if _, err := hex.DecodeString(v.Digest); err != nil || len(v.Digest) != digestBytes {
		r.fail("digest", "is no hex SHA-256")
	}
	if err := r.done("digest, token, tokens, requests, operator"); err != nil {
		return err
	}
	put(s, &s.accounts, v)
	return nil
}

// TokenDigest returns the digest under which a bearer token is kept.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// declareMember takes back a drain. Members join by themselves.
func (s *State) declareMember(name string, r *reader) error {
	v, found := s.members.rows[name]
	if !found {
		return refuse(CodeInvalid, "member %s: unknown; members join by themselves", name)
	}
	if err := r.done("no fields"); err != nil {
		return err
	}
	if v.Phase == PhaseLeaving {
		s.restore(NounMember, name, &v.Phase)
	}
	put(s, &s.members, v)
	return nil
}

// restore puts a drained object back into service.
func (s *State) restore(noun Noun, name string, phase *Phase) {
	k := removedKey{noun, name}
	n, found := s.notes[k]
	if !found {
		return
	}
	n.Withdraw, n.Target, n.Drained = false, "", false
	s.notes[k] = n
	if *phase == PhaseLeaving {
		*phase = PhaseServing
	}
}
