package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/process/codec"
)

// image is the encoding of the whole state.
type image struct {
	Index     uint64     `cbor:"1,keyasint"`
	Version   uint64     `cbor:"2,keyasint"`
	Now       int64      `cbor:"3,keyasint"` // Unix nanoseconds
	Services  []Service  `cbor:"4,keyasint"`
	Models    []Model    `cbor:"5,keyasint"`
	Engines   []Engine   `cbor:"6,keyasint"`
	Servers   []Server   `cbor:"7,keyasint"`
	Accounts  []Account  `cbor:"8,keyasint"`
	Members   []Member   `cbor:"9,keyasint"`
	Strikes   []Strike   `cbor:"10,keyasint"`
	Removed   []Removed  `cbor:"11,keyasint"`
	Floor     uint64     `cbor:"12,keyasint"`
	Notes     []note     `cbor:"13,keyasint"`
	Open      []Order    `cbor:"14,keyasint"`
	Closed    []Order    `cbor:"15,keyasint"`
	Orders    uint64     `cbor:"16,keyasint"`
	Fence     uint64     `cbor:"17,keyasint"`
	Decisions []Decision `cbor:"18,keyasint"`
	Decided   uint64     `cbor:"19,keyasint"`
	Operators []operator `cbor:"20,keyasint"`
	Routing   *Routing   `cbor:"21,keyasint,omitempty"`
}

type operator struct {
	Name     string    `cbor:"1,keyasint"`
	Outcomes []outcome `cbor:"2,keyasint"`
}

// Snapshot encodes the whole state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	i := image{
		Index: s.index, Version: s.version, Now: nanos(s.now),
		Services: s.services.after(0), Models: s.models.after(0), Engines: s.engines.after(0),
		Servers: s.servers.after(0), Accounts: s.accounts.after(0), Members: s.members.after(0),
		Strikes: s.strikes.after(0), Removed: s.tombstones(0), Floor: s.floor,
		Notes: s.sortedNotes(), Open: s.Open(), Closed: s.closed, Orders: s.orders, Fence: s.fence,
		Decisions: s.decisions, Decided: s.decided, Routing: s.routing,
	}
	for name, o := range s.operators {
		i.Operators = append(i.Operators, operator{Name: name, Outcomes: o})
	}
	slices.SortFunc(i.Operators, func(a, b operator) int { return cmp.Compare(a.Name, b.Name) })
	b, err := codec.Marshal(i)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return b, nil
}

// Restore replaces the whole state.
func (s *State) Restore(b []byte) error {
	var i image
	if err := codec.Unmarshal(b, &i); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	s.reset()
	s.index, s.version, s.now = i.Index, i.Version, moment(i.Now)
	s.services.load(i.Services)
	s.models.load(i.Models)
	s.engines.load(i.Engines)
	s.servers.load(i.Servers)
	s.accounts.load(i.Accounts)
	s.members.load(i.Members)
	s.strikes.load(i.Strikes)
	for _, r := range i.Removed {
		s.removed[removedKey{r.Noun, r.Name}] = r.Version
	}
	for _, n := range i.Notes {
		s.notes[removedKey{n.Noun, n.Name}] = n
	}
	for _, o := range i.Open {
		s.open[o.Engine] = o
	}
	s.floor, s.closed, s.orders, s.fence = i.Floor, i.Closed, i.Orders, i.Fence
	s.decisions, s.decided, s.routing = i.Decisions, i.Decided, i.Routing
	for _, o := range i.Operators {
		s.operators[o.Name] = o.Outcomes
	}
	return nil
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func moment(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
