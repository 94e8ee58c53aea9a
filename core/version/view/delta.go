package view

import (
	"maps"

	"verbenahaven.example/core/version/state"
)

// withView returns the snapshot that results from s and a view. A delta is
// applied to a copy of s; a whole snapshot replaces it.
func (s *Snapshot) withView(v state.View) *Snapshot {
	n := emptySnapshot()
	n.oldestDelta = v.Version
	if v.Since > 0 {
		n = s.clone()
	}
	n.version = v.Version
	for _, r := range v.Removed {
		n.remove(r)
	}
	upsert(n.services, v.Services, func(o state.Service) string { return o.Name })
	upsert(n.models, v.Models, func(o state.Model) string { return o.Name })
	upsert(n.engines, v.Engines, func(o state.Engine) string { return o.Name })
	upsert(n.servers, v.Servers, func(o state.Server) string { return o.Name })
	upsert(n.accounts, v.Accounts, func(o state.Account) string { return o.Name })
	upsert(n.members, v.Members, func(o state.Member) string { return o.Name })
	upsert(n.strikes, v.Strikes, func(o state.Strike) string { return o.Fingerprint })
	if v.Routing != nil {
		n.routing, n.keys = v.Routing, newKeyIndex(v.Routing, s.keys)
	}
	return n
}

func (s *Snapshot) clone() *Snapshot {
	n := &Snapshot{
		version:     s.version,
		oldestDelta: s.oldestDelta,
		services:    maps.Clone(s.services),
		models:      maps.Clone(s.models),
		engines:     maps.Clone(s.engines),
		servers:     maps.Clone(s.servers),
		accounts:    maps.Clone(s.accounts),
		members:     maps.Clone(s.members),
		strikes:     maps.Clone(s.strikes),
		routing:     s.routing,
		keys:        s.keys,
		tombstones:  make(map[state.Noun]map[string]uint64, len(s.tombstones)),
	}
	for noun, names := range s.tombstones {
		n.tombstones[noun] = maps.Clone(names)
	}
	return n
}

func upsert[T any](m map[string]T, list []T, name func(T) string) {
	for _, o := range list {
		m[name(o)] = o
	}
}

// remove deletes an object and records its tombstone. An object that is newer
// than the removal stays: it was declared again since.
func (s *Snapshot) remove(r state.Tombstone) {
	switch r.Noun {
	case state.NounService:
		deleteUnlessNewer(s.services, r, s.services[r.Name].Version)
	case state.NounModel:
		deleteUnlessNewer(s.models, r, s.models[r.Name].Version)
	case state.NounEngine:
		deleteUnlessNewer(s.engines, r, s.engines[r.Name].Version)
	case state.NounServer:
		deleteUnlessNewer(s.servers, r, s.servers[r.Name].Version)
	case state.NounAccount:
		deleteUnlessNewer(s.accounts, r, s.accounts[r.Name].Version)
	case state.NounMember:
		deleteUnlessNewer(s.members, r, s.members[r.Name].Version)
	case state.NounStrike:
		deleteUnlessNewer(s.strikes, r, s.strikes[r.Name].Version)
	default:
		return
	}
	if s.tombstones[r.Noun] == nil {
		s.tombstones[r.Noun] = make(map[string]uint64)
	}
	s.tombstones[r.Noun][r.Name] = max(r.Version, s.tombstones[r.Noun][r.Name])
}

func deleteUnlessNewer[T any](m map[string]T, r state.Tombstone, version uint64) {
	if r.Version >= version {
		delete(m, r.Name)
	}
}

// View returns what changed after a version, or the whole state if the removals
// after that version aren't known.
func (s *Snapshot) View(since uint64) state.View {
	if since < s.oldestDelta || since > s.version {
		since = 0
	}
	v := state.View{Version: s.version, Since: since}
	v.Services = changedSince(s.services, since, func(o state.Service) uint64 { return o.Version })
	v.Models = changedSince(s.models, since, func(o state.Model) uint64 { return o.Version })
	v.Engines = changedSince(s.engines, since, func(o state.Engine) uint64 { return o.Version })
	v.Servers = changedSince(s.servers, since, func(o state.Server) uint64 { return o.Version })
	v.Accounts = changedSince(s.accounts, since, func(o state.Account) uint64 { return o.Version })
	v.Members = changedSince(s.members, since, func(o state.Member) uint64 { return o.Version })
	v.Strikes = changedSince(s.strikes, since, func(o state.Strike) uint64 { return o.Version })
	if s.routing != nil && (since == 0 || s.routing.Version > since) {
		v.Routing = s.routing
	}
	if since == 0 {
		return v
	}
	for noun, names := range s.tombstones {
		for name, version := range names {
			if version > since {
				v.Removed = append(v.Removed, state.Tombstone{Noun: noun, Name: name, Version: version})
			}
		}
	}
	return v
}

func changedSince[T any](m map[string]T, since uint64, version func(T) uint64) []T {
	var list []T
	for _, o := range sortedByName(m) {
		if since == 0 || version(o) > since {
			list = append(list, o)
		}
	}
	return list
}
