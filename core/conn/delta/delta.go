// Package delta sends lists that are sent again and again as what changed since the receiver's
// last one.
package delta

import (
	"cmp"
	"maps"
	"slices"

	"verbenahaven.example/core/request/rank"
)

// Change turns a list that a receiver has into the next one. With a Base of zero it is the whole
// list. Items keep the order of their keys.
type Change[T any] struct {
	Base     uint64   // revision of the list that it applies to
	Revision uint64   // of the list afterwards, zero if later changes aren't sent
	Items    []T      // new or changed
	Gone     []string // keys of those that are no longer in the list
}

// Sender returns the changes for each receiver. It isn't safe for concurrent use.
type Sender[T comparable] struct {
	key       func(T) string
	shortest  int
	receivers int
	revision  uint64
	sent      map[string]version[T] // by receiver
}

type version[T any] struct {
	revision uint64
	items    map[string]T
}

// NewSender returns a sender that keeps lists of at least shortest items, for as many receivers.
// Shorter lists are sent whole. Its revisions are above first.
func NewSender[T comparable](key func(T) string, shortest, receivers int, first uint64) *Sender[T] {
	return &Sender[T]{key: key, shortest: shortest, receivers: receivers, revision: first, sent: make(map[string]version[T])}
}

// Next returns the change from the list that a receiver has, by its revision, to the given one.
func (s *Sender[T]) Next(receiver string, has uint64, list []T) Change[T] {
	last, found := s.sent[receiver]
	if len(list) < s.shortest {
		delete(s.sent, receiver)
		return Change[T]{Items: list}
	}
	s.revision++
	items := make(map[string]T, len(list))
	for _, t := range list {
		items[s.key(t)] = t
	}
	s.sent[receiver] = version[T]{s.revision, items}
	if len(s.sent) > s.receivers {
		s.dropOldest()
	}
	if !found || has == 0 || has != last.revision {
		return Change[T]{Revision: s.revision, Items: list}
	}
	c := Change[T]{Base: has, Revision: s.revision}
	for _, t := range list {
		if old, known := last.items[s.key(t)]; !known || old != t {
			c.Items = append(c.Items, t)
		}
	}
	for key := range last.items {
		if _, kept := items[key]; !kept {
			c.Gone = append(c.Gone, key)
		}
	}
	slices.Sort(c.Gone)
	return c
}

func (s *Sender[T]) dropOldest() {
	oldest := rank.Least(s.sent, func(v version[T]) uint64 { return v.revision })
	delete(s.sent, oldest)
}

// Receiver holds the list that a sender sent last. It isn't safe for concurrent use.
type Receiver[T any] struct {
	key      func(T) string
	revision uint64
	items    map[string]T
}

// NewReceiver returns a receiver without a list.
func NewReceiver[T any](key func(T) string) *Receiver[T] {
	return &Receiver[T]{key: key, items: make(map[string]T)}
}

// Revision returns the revision of the list, to be sent with the next request. Zero asks for the
// whole list.
func (r *Receiver[T]) Revision() uint64 { return r.revision }

// Apply applies a change and returns the list, ordered by key. A change of a list that the receiver
// doesn't have leaves it as it is, and the next one is asked for whole.
func (r *Receiver[T]) Apply(c Change[T]) []T {
	switch {
	case c.Base == 0:
		clear(r.items)
	case c.Base != r.revision:
		r.revision = 0
		return r.list()
	}
	r.revision = c.Revision
	for _, key := range c.Gone {
		delete(r.items, key)
	}
	for _, t := range c.Items {
		r.items[r.key(t)] = t
	}
	return r.list()
}

func (r *Receiver[T]) list() []T {
	return slices.SortedFunc(maps.Values(r.items), func(a, b T) int { return cmp.Compare(r.key(a), r.key(b)) })
}
