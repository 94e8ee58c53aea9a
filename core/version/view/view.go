// Package view is an entry instance's local copy of the replicated state. It is
// updated by snapshots and deltas; the version never decreases, and a reader
// always sees the objects of one version.
package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"iter"
	"maps"
	"sort"
	"sync"
	"sync/atomic"

	"verbenahaven.example/core/version/state"
)

// Errors of Apply.
var (
	// ErrStale means that the view is not newer than the current snapshot.
	ErrStale = errors.New("view is not newer than the current version")
	// ErrGap means that a delta starts after the current version, so that the
	// changes between the two are missing.
	ErrGap = errors.New("delta starts after the current version")
)

// Snapshot is one version of the state. It is immutable once published.
type Snapshot struct {
	version     uint64
	oldestDelta uint64 // deltas that start before it would lack removals
	services    map[string]state.Service
	models      map[string]state.Model
	engines     map[string]state.Engine
	servers     map[string]state.Server
	accounts    map[string]state.Account
	members     map[string]state.Member
	strikes     map[string]state.Strike
	routing     *state.RoutingTable
	tombstones  map[state.Noun]map[string]uint64

	accountByDigest  map[[sha256.Size]byte]string
	keys             *keyIndex // of routing, nil without one
	serversByService map[string][]state.Server
	liveEntries      []state.Member
}

// Store holds the current snapshot. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{} // closed and replaced when a newer snapshot becomes current
}

// New returns a store with an empty snapshot at version 0.
func New() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(buildIndexes(emptySnapshot()))
	return s
}

// Current returns the current snapshot.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Changed returns a channel that is closed when a newer snapshot becomes
// current. Call it before Current: otherwise a change between the two calls is
// missed.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Apply makes the result of a snapshot or delta the current snapshot. It returns
// ErrStale if the view is not newer, and ErrGap if changes before the delta are
// missing.
func (s *Store) Apply(v state.View) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.current.Load()
	if v.Version <= current.version {
		return ErrStale
	}
	if v.Since > current.version {
		return ErrGap
	}
	next := current.withView(v)
	if next.version <= current.version {
		panic("view: current version would decrease")
	}
	s.current.Store(buildIndexes(next))
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		services:   make(map[string]state.Service),
		models:     make(map[string]state.Model),
		engines:    make(map[string]state.Engine),
		servers:    make(map[string]state.Server),
		accounts:   make(map[string]state.Account),
		members:    make(map[string]state.Member),
		strikes:    make(map[string]state.Strike),
		tombstones: make(map[state.Noun]map[string]uint64),
	}
}

// Version returns the version of the state.
func (s *Snapshot) Version() uint64 { return s.version }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (state.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns the services, sorted by name.
func (s *Snapshot) Services() []state.Service { return sortedByName(s.services) }

// Model returns a model by name.
func (s *Snapshot) Model(name string) (state.Model, bool) {
	v, ok := s.models[name]
	return v, ok
}

// Models returns the models, sorted by name.
func (s *Snapshot) Models() []state.Model { return sortedByName(s.models) }

// Engine returns an engine by name.
func (s *Snapshot) Engine(name string) (state.Engine, bool) {
	v, ok := s.engines[name]
	return v, ok
}

// Engines returns the engines, sorted by name.
func (s *Snapshot) Engines() []state.Engine { return sortedByName(s.engines) }

// Server returns a backend server of a plain service by name.
func (s *Snapshot) Server(name string) (state.Server, bool) {
	v, ok := s.servers[name]
	return v, ok
}

// Servers returns the backend servers of a plain service in any phase, sorted by
// name.
func (s *Snapshot) Servers(service string) []state.Server { return s.serversByService[service] }

// AllServers returns the backend servers of all plain services, sorted by name.
func (s *Snapshot) AllServers() []state.Server { return sortedByName(s.servers) }

// Members returns all instances, sorted by name.
func (s *Snapshot) Members() []state.Member { return sortedByName(s.members) }

// Member returns an instance by name.
func (s *Snapshot) Member(name string) (state.Member, bool) {
	v, ok := s.members[name]
	return v, ok
}

// LiveEntries returns the entry instances that are neither lost nor gone, sorted by
// name.
func (s *Snapshot) LiveEntries() []state.Member { return s.liveEntries }

// Strike returns the strikes of a request by its fingerprint.
func (s *Snapshot) Strike(fingerprint string) (state.Strike, bool) {
	v, ok := s.strikes[fingerprint]
	return v, ok
}

// Strikes returns all strikes, in any order.
func (s *Snapshot) Strikes() iter.Seq[state.Strike] { return maps.Values(s.strikes) }

// Routing returns the routing table, or nil if none was published.
func (s *Snapshot) Routing() *state.RoutingTable { return s.routing }

// AccountByToken returns the account of a bearer token. Only digests are
// compared, and the final comparison takes constant time.
func (s *Snapshot) AccountByToken(token string) (state.Account, bool) {
	digest := sha256.Sum256([]byte(token))
	name, ok := s.accountByDigest[digest]
	if !ok {
		return state.Account{}, false
	}
	a := s.accounts[name]
	stored, err := hex.DecodeString(a.TokenDigest)
	if err != nil || subtle.ConstantTimeCompare(stored, digest[:]) != 1 {
		return state.Account{}, false
	}
	return a, true
}

// buildIndexes fills the indexes of a snapshot before it is published.
func buildIndexes(s *Snapshot) *Snapshot {
	s.accountByDigest = make(map[[sha256.Size]byte]string, len(s.accounts))
	for name, a := range s.accounts {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(a.TokenDigest)); err == nil && n == sha256.Size {
			s.accountByDigest[digest] = name
		}
	}
	s.serversByService = make(map[string][]state.Server)
	for _, v := range sortedByName(s.servers) {
		s.serversByService[v.Service] = append(s.serversByService[v.Service], v)
	}
	for _, m := range sortedByName(s.members) {
		if m.Kind == state.MemberEntry && m.Phase != state.PhaseLost && m.Phase != state.PhaseGone {
			s.liveEntries = append(s.liveEntries, m)
		}
	}
	return s
}

func sortedByName[T any](m map[string]T) []T {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]T, len(names))
	for i, name := range names {
		list[i] = m[name]
	}
	return list
}
