package pace

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
)

// Board is the leader's collection of what instances have heard of limits: the newest
// statement of each server. It isn't safe for concurrent use.
type Board struct {
	statements map[string]*statement
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{statements: make(map[string]*statement)} }

// Put adds what an instance has heard.
func (b *Board) Put(now time.Time, list []proto.ServerLimit) {
	for _, l := range list {
		at := now.Add(-l.Age)
		if old := b.statements[l.Server]; old == nil || at.After(old.at) {
			b.statements[l.Server] = &statement{limited: l.Limited, rate: l.Rate, at: at}
		}
	}
}

// List returns the newest statements that hold.
func (b *Board) List(now time.Time) []proto.ServerLimit {
	var list []proto.ServerLimit
	for server, s := range b.statements {
		if s.expired(now) {
			delete(b.statements, server)
			continue
		}
		list = append(list, proto.ServerLimit{Server: server, Limited: s.limited, Rate: s.rate, Age: now.Sub(s.at)})
	}
	slices.SortFunc(list, func(x, y proto.ServerLimit) int { return cmp.Compare(x.Server, y.Server) })
	return list
}
