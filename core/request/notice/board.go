package notice

import (
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
)

// Board is the leader's collection of what servers told instances: the newest statement of
// each start of a server, since some instances may list an earlier one than others. It isn't
// safe for concurrent use.
type Board struct{ records map[startKey]*record }

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{records: make(map[startKey]*record)} }

// Put adds what servers told an instance.
func (b *Board) Put(now time.Time, list []proto.ServerNotice) {
	for _, n := range list {
		at, key := now.Add(-n.Age), startKey{n.Server, n.Start}
		if old := b.records[key]; n.Leaving && (old == nil || at.After(old.leavingAt)) {
			b.records[key] = &record{start: n.Start, leaving: true, leavingAt: at}
		}
	}
}

// List returns the newest statements that hold.
func (b *Board) List(now time.Time) []proto.ServerNotice {
	var list []proto.ServerNotice
	for key, r := range b.records {
		if now.Sub(r.leavingAt) > leavingMemory {
			delete(b.records, key)
			continue
		}
		list = append(list, r.notice(now, key.server))
	}
	slices.SortFunc(list, compare)
	return list
}
