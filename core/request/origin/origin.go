// Package origin keeps track of the software build that began each stream. What
// two builds write doesn't fit together, so a stream that broke off may only go on
// at the build that began it, also when its caller takes it up at another
// instance. It answers the load of a release during which engines crash and
// instances are lost: streams break off by the hundred while several builds serve,
// and each must find its own. It is a state machine without I/O.
package origin

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/rank"
	"verbenahaven.example/core/version/state"
)

const (
	// maxStreams bounds the streams of a Table.
	maxStreams = 1 << 16
	// expiryInterval is the least time between two searches for streams whose
	// callers have given up.
	expiryInterval = time.Second
	// holders is the number of instances that are told of a stream, so that it is
	// known after two of them are lost.
	holders = 3
)

// Table holds the origins of the streams that callers may still take up.
type Table struct {
	streams map[string]stream
	checked time.Time // last search for expired streams
}

type stream struct {
	origin  proto.StreamOrigin
	expires time.Time
	own     bool // an event of it was relayed here
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{streams: make(map[string]stream)} }

// Begin adds a stream of which this instance relays events, and reports whether there was
// room for it.
func (t *Table) Begin(now time.Time, o proto.StreamOrigin) bool { return t.add(now, o, true) }

// Record adds a stream of which another instance tells, and reports whether there was room
// for it.
func (t *Table) Record(now time.Time, o proto.StreamOrigin) bool {
	return t.add(now, o, t.streams[o.ID].own)
}

func (t *Table) add(now time.Time, o proto.StreamOrigin, own bool) bool {
	if now.Sub(t.checked) >= expiryInterval {
		t.expire(now)
	}
	if _, known := t.streams[o.ID]; !known && len(t.streams) >= maxStreams {
		return false
	}
	t.streams[o.ID] = stream{origin: o, expires: now.Add(o.Left), own: own}
	return true
}

func (t *Table) expire(now time.Time) {
	t.checked = now
	for id, s := range t.streams {
		if now.After(s.expires) {
			delete(t.streams, id)
		}
	}
}

// Find returns the origin of a stream.
func (t *Table) Find(now time.Time, id string) (proto.StreamOrigin, bool) {
	s, found := t.streams[id]
	if !found || now.After(s.expires) {
		return proto.StreamOrigin{}, false
	}
	return s.at(now), true
}

// Begun returns the streams of some pools of which this instance relays or relayed events,
// sorted by ID.
func (t *Table) Begun(now time.Time, pools []string) []proto.StreamOrigin {
	var list []proto.StreamOrigin
	for _, s := range t.streams {
		if s.own && slices.Contains(pools, s.origin.Pool) && !now.After(s.expires) {
			list = append(list, s.at(now))
		}
	}
	slices.SortFunc(list, func(a, b proto.StreamOrigin) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (s stream) at(now time.Time) proto.StreamOrigin {
	o := s.origin
	o.Left = s.expires.Sub(now)
	return o
}

// Holders returns the instances that are told of a stream and asked for it, in
// order of preference: those with the highest rendezvous hashes, so that instances
// which know the same members agree and a lost member changes little.
func Holders(members []state.Member, id string) []state.Member {
	type ranked struct {
		member state.Member
		hash   uint64
	}
	list := make([]ranked, 0, len(members))
	hasher := rank.NewHasher(id)
	for _, m := range members {
		if m.LinkAddress != "" {
			list = append(list, ranked{m, hasher.Hash(m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.member.Name, b.member.Name))
	})
	chosen := make([]state.Member, 0, holders)
	for _, r := range list[:min(holders, len(list))] {
		chosen = append(chosen, r.member)
	}
	return chosen
}
