package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/process/codec"
)

// encodedState is the content of a snapshot.
type encodedState struct {
	Index            uint64             `cbor:"1,keyasint"`
	Version          uint64             `cbor:"2,keyasint"`
	Now              int64              `cbor:"3,keyasint"` // Unix nanoseconds
	Services         []Service          `cbor:"4,keyasint"`
	Models           []Model            `cbor:"5,keyasint"`
	Engines          []Engine           `cbor:"6,keyasint"`
	Servers          []Server           `cbor:"7,keyasint"`
	Accounts         []Account          `cbor:"8,keyasint"`
	Members          []Member           `cbor:"9,keyasint"`
	Strikes          []Strike           `cbor:"10,keyasint"`
	Removed          []Tombstone        `cbor:"11,keyasint"`
	OldestDelta      uint64             `cbor:"12,keyasint"`
	Lifecycles       []lifecycle        `cbor:"13,keyasint"`
	Open             []Order            `cbor:"14,keyasint"`
	Closed           []Order            `cbor:"15,keyasint"`
	LastOrder        uint64             `cbor:"16,keyasint"`
	LastFencingToken uint64             `cbor:"17,keyasint"`
	Decisions        []Decision         `cbor:"18,keyasint"`
	LastDecision     uint64             `cbor:"19,keyasint"`
	Operators        []operatorOutcomes `cbor:"20,keyasint"`
	Routing          *RoutingTable      `cbor:"21,keyasint,omitempty"`
	Level            uint64             `cbor:"26,keyasint,omitempty"`
	FormerBuilds     []FormerBuild      `cbor:"27,keyasint,omitempty"`
	Duty             *Duty              `cbor:"25,keyasint,omitempty"` // nil if there was no claim yet
}

// operatorOutcomes are the stored outcomes of one operator, sorted by number.
type operatorOutcomes struct {
	Name     string          `cbor:"1,keyasint"`
	Outcomes []storedOutcome `cbor:"2,keyasint"`
}

// Snapshot returns the encoding of the whole state. Equal states have equal
// snapshots.
func (s *State) Snapshot() ([]byte, error) {
	e := encodedState{
		Index: s.index, Version: s.version, Now: toUnixNano(s.now),
		Services: s.services.after(0), Models: s.models.after(0), Engines: s.engines.after(0),
		Servers: s.servers.after(0), Accounts: s.accounts.after(0), Members: s.members.after(0),
		Strikes: s.strikes.after(0), Removed: s.removedSince(0), OldestDelta: s.oldestDelta,
		Lifecycles: s.sortedLifecycles(), Open: s.OpenOrders(), Closed: s.closedOrders, LastOrder: s.lastOrder, LastFencingToken: s.lastFencingToken,
		Decisions: s.decisions, LastDecision: s.lastDecision, Routing: s.routing, Level: s.level,
		FormerBuilds: s.formerBuilds,
	}
	if s.duty != (Duty{}) {
		e.Duty = &s.duty
	}
	for name, o := range s.outcomes {
		e.Operators = append(e.Operators, operatorOutcomes{Name: name, Outcomes: o})
	}
	slices.SortFunc(e.Operators, func(a, b operatorOutcomes) int { return cmp.Compare(a.Name, b.Name) })
	b, err := codec.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return b, nil
}

// Restore replaces the whole state by that of a snapshot.
func (s *State) Restore(b []byte) error {
	var e encodedState
	if err := codec.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	s.reset()
	s.index, s.version, s.now = e.Index, e.Version, fromUnixNano(e.Now)
	s.services.load(e.Services)
	s.models.load(e.Models)
	s.engines.load(e.Engines)
	s.servers.load(e.Servers)
	s.accounts.load(e.Accounts)
	s.members.load(e.Members)
	s.strikes.load(e.Strikes)
	for _, r := range e.Removed {
		s.tombstones[objectKey{r.Noun, r.Name}] = r.Version
	}
	for _, l := range e.Lifecycles {
		s.lifecycles[objectKey{l.Noun, l.Name}] = l
	}
	for _, o := range e.Open {
		s.openOrders[o.Engine] = o
	}
	s.oldestDelta, s.closedOrders, s.lastOrder, s.lastFencingToken = e.OldestDelta, e.Closed, e.LastOrder, e.LastFencingToken
	s.decisions, s.lastDecision, s.routing, s.level = e.Decisions, e.LastDecision, e.Routing, e.Level
	s.formerBuilds = e.FormerBuilds
	if e.Duty != nil {
		s.duty = *e.Duty
	}
	for _, o := range e.Operators {
		s.outcomes[o.Name] = o.Outcomes
	}
	return nil
}

// toUnixNano returns 0 for the zero time, whose UnixNano is undefined.
func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
