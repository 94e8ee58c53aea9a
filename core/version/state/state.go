package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bounds of what the state remembers.
const (
	maxRemoved   = 4096 // tombstones; older readers get a snapshot
	maxOutcomes  = 1024 // answers kept for an operator
	maxClosed    = 256  // closed orders
	maxDecisions = 512
	maxStrikes   = 10000
	strikeLife   = 10 * time.Minute
)

type removedKey struct {
	noun Noun
	name string
}

// State is the replicated configuration. It isn't safe for concurrent use.
type State struct {
	index   uint64    // log index of the command being applied
	version uint64    // index of the last command that changed what View shows
	now     time.Time // time of the last command; never runs backwards

	services table[Service]
	models   table[Model]
	engines  table[Engine]
	servers  table[Server]
	accounts table[Account]
	members  table[Member]
	strikes  table[Strike]
	routing  *Routing // nil before the first was published

	removed map[removedKey]uint64
	floor   uint64 // deltas from before this version are incomplete

	notes     map[removedKey]note
	open      map[string]Order // by engine
	closed    []Order
	orders    uint64 // number of the last order
	fence     uint64 // highest fencing number of an order
	decisions []Decision
	decided   uint64 // number of the last decision
	operators map[string][]outcome
}

// note is what the state remembers of a backend server or member besides
// what instances need.
type note struct {
	Noun     Noun      `cbor:"1,keyasint"`
	Name     string    `cbor:"2,keyasint"`
	Withdraw bool      `cbor:"3,keyasint,omitempty"` // remove it once it is idle
	Target   string    `cbor:"4,keyasint,omitempty"` // withdraw it once the target serves
	Drained  bool      `cbor:"5,keyasint,omitempty"` // an operator took it out of service
	Changed  time.Time `cbor:"6,keyasint,omitempty"` // end of the last order
}

// New returns an empty state.
func New() *State {
	s := &State{}
	s.reset()
	return s
}

func (s *State) reset() {
	*s = State{
		services:  newTable[Service](NounService),
		models:    newTable[Model](NounModel),
		engines:   newTable[Engine](NounEngine),
		servers:   newTable[Server](NounServer),
		accounts:  newTable[Account](NounAccount),
		members:   newTable[Member](NounMember),
		strikes:   newTable[Strike](NounStrike),
		removed:   make(map[removedKey]uint64),
		notes:     make(map[removedKey]note),
		open:      make(map[string]Order),
		operators: make(map[string][]outcome),
	}
}

// Advance starts the command at a log index. The proposer's time is only
// taken when it is later than all before it.
func (s *State) Advance(index uint64, at time.Time) {
	if index <= s.index {
		panic(fmt.Sprintf("state: log index goes from %d to %d", s.index, index))
	}
	s.index = index
	if at.After(s.now) {
		s.now = at
	}
}

// Now returns the time of the last command.
func (s *State) Now() time.Time {
	return s.now
}

// Version returns the log index of the last change of what View shows.
func (s *State) Version() uint64 {
	return s.version
}

// Index returns the log index of the last command.
func (s *State) Index() uint64 {
	return s.index
}

// touch makes the current command a new version.
func (s *State) touch() {
	if s.index < s.version {
		panic(fmt.Sprintf("state: version goes from %d to %d", s.version, s.index))
	}
	s.version = s.index
}

func (s *State) bury(noun Noun, name string) {
	s.removed[removedKey{noun, name}] = s.index
	delete(s.notes, removedKey{noun, name})
	if len(s.removed) <= maxRemoved {
		return
	}
	// Half are dropped at once, so that the sort is paid once in many changes.
	all := s.tombstones(0)
	slices.SortStableFunc(all, func(a, b Removed) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range all[:len(all)/2] {
		delete(s.removed, removedKey{r.Noun, r.Name})
		s.floor = max(s.floor, r.Version)
	}
}

func (s *State) tombstones(since uint64) []Removed {
	var all []Removed
	for k, version := range s.removed {
		if version > since {
			all = append(all, Removed{Noun: k.noun, Name: k.name, Version: version})
		}
	}
	slices.SortFunc(all, func(a, b Removed) int {
		return cmp.Or(cmp.Compare(a.Noun, b.Noun), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// View returns what changed after a version, or a whole snapshot when the
// version is 0 or older than the tombstones reach. A version that isn't
// reached yet gives an empty delta.
func (s *State) View(since uint64) View {
	if since < s.floor {
		since = 0
	}
	v := View{Version: s.version, Since: since}
	if since >= s.version && since > 0 {
		return v
	}
	v.Services = s.services.after(since)
	v.Models = s.models.after(since)
	v.Engines = s.engines.after(since)
	v.Servers = s.servers.after(since)
	v.Accounts = s.accounts.after(since)
	v.Members = s.members.after(since)
	v.Strikes = s.strikes.after(since)
	v.Routing = s.spread(since)
	if since > 0 {
		v.Removed = s.tombstones(since)
	}
	return v
}
