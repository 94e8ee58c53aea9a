package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits of the history that the state keeps.
const (
	maxTombstones   = 4096 // readers from before the oldest tombstone get a snapshot
	maxOutcomes     = 1024 // per operator
	maxClosedOrders = 256
	maxDecisions    = 512
	maxStrikes      = 10000
	strikeTTL       = 10 * time.Minute
)

// objectKey identifies an object.
type objectKey struct {
	noun Noun
	name string
}

// State is the replicated configuration of a deployment. It isn't safe for
// concurrent use.
type State struct {
	index   uint64    // log index of the command being applied
	version uint64    // log index of the last command that changed what View returns
	now     time.Time // time of the last command; never decreases

	services table[Service]
	models   table[Model]
	engines  table[Engine]
	servers  table[Server]
	accounts table[Account]
	members  table[Member]
	strikes  table[Strike]
	routing  *RoutingTable // nil before the first is published

	tombstones  map[objectKey]uint64 // version of the removal
	oldestDelta uint64               // deltas from an earlier version would lack removals

	lifecycles       map[objectKey]lifecycle
	openOrders       map[string]Order // by engine
	closedOrders     []Order
	lastOrder        uint64 // number of the last order opened
	lastFencingToken uint64 // last fencing token given out
	decisions        []Decision
	lastDecision     uint64 // number of the last decision recorded
	outcomes         map[string][]storedOutcome
	duty             Duty   // last claim
	level            uint64 // of commands in force
	formerBuilds     []FormerBuild
}

// lifecycle is the drain, withdrawal or replacement of a backend server or
// member. Instances don't need it, so it isn't part of a View.
type lifecycle struct {
	Noun            Noun      `cbor:"1,keyasint"`
	Name            string    `cbor:"2,keyasint"`
	RemoveWhenIdle  bool      `cbor:"3,keyasint,omitempty"` // the object is withdrawn
	Replacement     string    `cbor:"4,keyasint,omitempty"` // withdraw the object once this one serves
	Drained         bool      `cbor:"5,keyasint,omitempty"` // by an operator or the platform's list
	LastOrderClosed time.Time `cbor:"6,keyasint,omitempty"` // when the last order on the engine was closed
}

// New returns an empty state.
func New() *State {
	s := &State{}
	s.reset()
	return s
}

func (s *State) reset() {
	*s = State{
		services:   newTable[Service](NounService),
		models:     newTable[Model](NounModel),
		engines:    newTable[Engine](NounEngine),
		servers:    newTable[Server](NounServer),
		accounts:   newTable[Account](NounAccount),
		members:    newTable[Member](NounMember),
		strikes:    newTable[Strike](NounStrike),
		tombstones: make(map[objectKey]uint64),
		lifecycles: make(map[objectKey]lifecycle),
		openOrders: make(map[string]Order),
		outcomes:   make(map[string][]storedOutcome),
	}
}

// BeginCommand starts the command at a log index. The clock is set to the
// proposer's time unless that would move it back.
func (s *State) BeginCommand(index uint64, at time.Time) {
	if index <= s.index {
		panic(fmt.Sprintf("state: log index %d is followed by %d, want a higher one", s.index, index))
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

// Version returns the log index of the last command that changed what View
// returns.
func (s *State) Version() uint64 {
	return s.version
}

// Index returns the log index of the last command.
func (s *State) Index() uint64 {
	return s.index
}

// bumpVersion makes the log index of the current command the version.
func (s *State) bumpVersion() {
	if s.index < s.version {
		panic(fmt.Sprintf("state: version would go back from %d to %d", s.version, s.index))
	}
	s.version = s.index
}

// addTombstone records the removal of an object and deletes its lifecycle.
func (s *State) addTombstone(noun Noun, name string) {
	s.tombstones[objectKey{noun, name}] = s.index
	delete(s.lifecycles, objectKey{noun, name})
	if len(s.tombstones) <= maxTombstones {
		return
	}
	// Half are dropped at once, so that most removals need no sort.
	all := s.removedSince(0)
	slices.SortStableFunc(all, func(a, b Tombstone) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range all[:len(all)/2] {
		delete(s.tombstones, objectKey{r.Noun, r.Name})
		s.oldestDelta = max(s.oldestDelta, r.Version)
	}
}

// removedSince returns the tombstones after a version, sorted by noun and name.
func (s *State) removedSince(since uint64) []Tombstone {
	var all []Tombstone
	for k, version := range s.tombstones {
		if version > since {
			all = append(all, Tombstone{Noun: k.noun, Name: k.name, Version: version})
		}
	}
	slices.SortFunc(all, func(a, b Tombstone) int {
		return cmp.Or(cmp.Compare(a.Noun, b.Noun), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// View returns what changed after a version, or a whole snapshot if the version
// is 0 or older than the kept tombstones. A version that the state hasn't reached
// yet gives an empty delta.
func (s *State) View(since uint64) View {
	if since < s.oldestDelta {
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
	v.Routing = s.routingSince(since)
	if since > 0 {
		v.Removed = s.removedSince(since)
	}
	return v
}
