// Package view keeps the newest version of the shared state in an entry
// instance. A version never goes back, and a reader sees one whole version.
package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"sort"
	"sync"
	"sync/atomic"

	"verbenahaven.example/core/version/state"
)

// Failures of Apply.
var (
	// ErrOlder tells that the view is not newer than the one in force.
	ErrOlder = errors.New("view is not newer")
	// ErrGap tells that a delta starts after the version in force.
	ErrGap = errors.New("delta starts after the version in force")
)

// Snapshot is one version of the state. It is never changed once published.
type Snapshot struct {
	version  uint64
	base     uint64 // removals after this version are known
	services map[string]state.Service
	models   map[string]state.Model
	engines  map[string]state.Engine
	servers  map[string]state.Server
	accounts map[string]state.Account
	members  map[string]state.Member
	strikes  map[string]state.Strike
	routing  *state.Routing
	removed  map[state.Noun]map[string]uint64

	digests  map[[sha256.Size]byte]string
	byServer map[string][]state.Server
	entries  []state.Member
}

// Store holds the snapshot in force.
type Store struct {
	mutex   sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{}
}

// New returns a store at version 0.
func New() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(index(empty()))
	return s
}

// Current returns the snapshot in force.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Changed returns a channel that is closed when a newer version comes into
// force. It must be taken before Current is read.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Apply puts a view into force if it is newer.
func (s *Store) Apply(v state.View) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.current.Load()
	if v.Version <= old.version {
		return ErrOlder
	}
	if v.Since > old.version {
		return ErrGap
	}
	next := old.next(v)
	if next.version <= old.version {
		panic("view: version in force would go back")
	}
	s.current.Store(index(next))
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func empty() *Snapshot {
	return &Snapshot{
		services: make(map[string]state.Service),
		models:   make(map[string]state.Model),
		engines:  make(map[string]state.Engine),
		servers:  make(map[string]state.Server),
		accounts: make(map[string]state.Account),
		members:  make(map[string]state.Member),
		strikes:  make(map[string]state.Strike),
		removed:  make(map[state.Noun]map[string]uint64),
	}
}

// Version is the version of the state.
func (s *Snapshot) Version() uint64 { return s.version }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (state.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services lists the services by name.
func (s *Snapshot) Services() []state.Service { return sorted(s.services) }

// Model returns a model by name.
func (s *Snapshot) Model(name string) (state.Model, bool) {
	v, ok := s.models[name]
	return v, ok
}

// Models lists the models by name.
func (s *Snapshot) Models() []state.Model { return sorted(s.models) }

// Engine returns an engine by name.
func (s *Snapshot) Engine(name string) (state.Engine, bool) {
	v, ok := s.engines[name]
	return v, ok
}

// Engines lists the engines by name.
func (s *Snapshot) Engines() []state.Engine { return sorted(s.engines) }

// Server returns a plain backend server by name.
func (s *Snapshot) Server(name string) (state.Server, bool) {
	v, ok := s.servers[name]
	return v, ok
}

// Servers lists the servers of a plain service, in any phase, by name.
func (s *Snapshot) Servers(service string) []state.Server { return s.byServer[service] }

// AllServers lists the plain servers of all services by name.
func (s *Snapshot) AllServers() []state.Server { return sorted(s.servers) }

// Members lists all instances by name.
func (s *Snapshot) Members() []state.Member { return sorted(s.members) }

// Member returns an instance by name.
func (s *Snapshot) Member(name string) (state.Member, bool) {
	v, ok := s.members[name]
	return v, ok
}

// Entries lists the entry instances that are neither lost nor gone, by name.
func (s *Snapshot) Entries() []state.Member { return s.entries }

// Strike returns the strikes of a request.
func (s *Snapshot) Strike(fingerprint string) (state.Strike, bool) {
	v, ok := s.strikes[fingerprint]
	return v, ok
}

// Routing returns the routing table, or nil if none was published.
func (s *Snapshot) Routing() *state.Routing { return s.routing }

// Account finds the account of a bearer token. Only digests are compared, and
// the last comparison takes the same time for any token.
func (s *Snapshot) Account(token string) (state.Account, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := s.digests[sum]
	if !ok {
		return state.Account{}, false
	}
	a := s.accounts[name]
	want, err := hex.DecodeString(a.Digest)
	if err != nil || subtle.ConstantTimeCompare(want, sum[:]) != 1 {
		return state.Account{}, false
	}
	return a, true
}

func index(s *Snapshot) *Snapshot {
	s.digests = make(map[[sha256.Size]byte]string, len(s.accounts))
	for name, a := range s.accounts {
		var sum [sha256.Size]byte
		if n, err := hex.Decode(sum[:], []byte(a.Digest)); err == nil && n == sha256.Size {
			s.digests[sum] = name
		}
	}
	s.byServer = make(map[string][]state.Server)
	for _, v := range sorted(s.servers) {
		s.byServer[v.Service] = append(s.byServer[v.Service], v)
	}
	for _, m := range sorted(s.members) {
		if m.Kind == state.MemberEntry && m.Phase != state.PhaseLost && m.Phase != state.PhaseGone {
			s.entries = append(s.entries, m)
		}
	}
	return s
}

func sorted[T any](m map[string]T) []T {
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
