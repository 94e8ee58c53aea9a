package view

import (
	"maps"

	"verbenahaven.example/core/version/state"
)

// next returns the snapshot after v. A whole view replaces everything.
func (s *Snapshot) next(v state.View) *Snapshot {
	n := empty()
	n.base = v.Version
	if v.Since > 0 {
		n = s.copy()
	}
	n.version = v.Version
	for _, r := range v.Removed {
		n.remove(r)
	}
	put(n.services, v.Services, func(o state.Service) string { return o.Name })
	put(n.models, v.Models, func(o state.Model) string { return o.Name })
	put(n.engines, v.Engines, func(o state.Engine) string { return o.Name })
	put(n.servers, v.Servers, func(o state.Server) string { return o.Name })
	put(n.accounts, v.Accounts, func(o state.Account) string { return o.Name })
	put(n.members, v.Members, func(o state.Member) string { return o.Name })
	put(n.strikes, v.Strikes, func(o state.Strike) string { return o.Fingerprint })
	if v.Routing != nil {
		n.routing = v.Routing
	}
	return n
}

func (s *Snapshot) copy() *Snapshot {
	n := &Snapshot{
		version:  s.version,
		base:     s.base,
		services: maps.Clone(s.services),
		models:   maps.Clone(s.models),
		engines:  maps.Clone(s.engines),
		servers:  maps.Clone(s.servers),
		accounts: maps.Clone(s.accounts),
		members:  maps.Clone(s.members),
		strikes:  maps.Clone(s.strikes),
		routing:  s.routing,
		removed:  make(map[state.Noun]map[string]uint64, len(s.removed)),
	}
	for noun, names := range s.removed {
		n.removed[noun] = maps.Clone(names)
	}
	return n
}

func put[T any](m map[string]T, list []T, name func(T) string) {
	for _, o := range list {
		m[name(o)] = o
	}
}

// remove drops an object, unless the delta is older than the object itself.
func (s *Snapshot) remove(r state.Removed) {
	switch r.Noun {
	case state.NounService:
		drop(s.services, r, s.services[r.Name].Version)
	case state.NounModel:
		drop(s.models, r, s.models[r.Name].Version)
	case state.NounEngine:
		drop(s.engines, r, s.engines[r.Name].Version)
	case state.NounServer:
		drop(s.servers, r, s.servers[r.Name].Version)
	case state.NounAccount:
		drop(s.accounts, r, s.accounts[r.Name].Version)
	case state.NounMember:
		drop(s.members, r, s.members[r.Name].Version)
	case state.NounStrike:
		drop(s.strikes, r, s.strikes[r.Name].Version)
	default:
		return
	}
	if s.removed[r.Noun] == nil {
		s.removed[r.Noun] = make(map[string]uint64)
	}
	s.removed[r.Noun][r.Name] = max(r.Version, s.removed[r.Noun][r.Name])
}

func drop[T any](m map[string]T, r state.Removed, version uint64) {
	if r.Version >= version {
		delete(m, r.Name)
	}
}

// View returns what changed after the version since, or the whole state if
// the removals since then aren't known.
func (s *Snapshot) View(since uint64) state.View {
	if since < s.base || since > s.version {
		since = 0
	}
	v := state.View{Version: s.version, Since: since}
	v.Services = after(s.services, since, func(o state.Service) uint64 { return o.Version })
	v.Models = after(s.models, since, func(o state.Model) uint64 { return o.Version })
	v.Engines = after(s.engines, since, func(o state.Engine) uint64 { return o.Version })
	v.Servers = after(s.servers, since, func(o state.Server) uint64 { return o.Version })
	v.Accounts = after(s.accounts, since, func(o state.Account) uint64 { return o.Version })
	v.Members = after(s.members, since, func(o state.Member) uint64 { return o.Version })
	v.Strikes = after(s.strikes, since, func(o state.Strike) uint64 { return o.Version })
	if s.routing != nil && (since == 0 || s.routing.Version > since) {
		v.Routing = s.routing
	}
	if since == 0 {
		return v
	}
	for noun, names := range s.removed {
		for name, version := range names {
			if version > since {
				v.Removed = append(v.Removed, state.Removed{Noun: noun, Name: name, Version: version})
			}
		}
	}
	return v
}

func after[T any](m map[string]T, since uint64, version func(T) uint64) []T {
	var list []T
	for _, o := range sorted(m) {
		if since == 0 || version(o) > since {
			list = append(list, o)
		}
	}
	return list
}
