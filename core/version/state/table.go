package state

import (
	"cmp"
	"slices"
)

// object is a row of a table.
type object[T any] interface {
	key() string
	version() uint64
	withVersion(version uint64) T
}

// table holds the objects of one noun, keyed by name.
type table[T object[T]] struct {
	noun Noun
	rows map[string]T
}

func newTable[T object[T]](noun Noun) table[T] {
	return table[T]{noun: noun, rows: make(map[string]T)}
}

func (t *table[T]) has(name string) bool {
	_, ok := t.rows[name]
	return ok
}

// after returns the objects changed after a version, sorted by name. It returns
// nil, never an empty slice, if there are none, so that equal views have equal
// encodings.
func (t *table[T]) after(since uint64) []T {
	var changed []T
	for _, o := range t.rows {
		if o.version() > since {
			changed = append(changed, o)
		}
	}
	slices.SortFunc(changed, func(a, b T) int { return cmp.Compare(a.key(), b.key()) })
	return changed
}

func (t *table[T]) load(objects []T) {
	t.rows = make(map[string]T, len(objects))
	for _, o := range objects {
		t.rows[o.key()] = o
	}
}

func (t *table[T]) clone() table[T] {
	rows := make(map[string]T, len(t.rows))
	for k, o := range t.rows {
		rows[k] = o
	}
	return table[T]{noun: t.noun, rows: rows}
}

// put stores an object with the current command's log index as its version.
func put[T object[T]](s *State, t *table[T], o T) {
	s.bumpVersion()
	t.rows[o.key()] = o.withVersion(s.index)
	delete(s.tombstones, objectKey{t.noun, o.key()})
}

// drop removes an object, if it exists, and records a tombstone.
func drop[T object[T]](s *State, t *table[T], name string) {
	if !t.has(name) {
		return
	}
	s.bumpVersion()
	delete(t.rows, name)
	s.addTombstone(t.noun, name)
}

func (s Service) key() string                        { return s.Name }
func (s Service) version() uint64                    { return s.Version }
func (s Service) withVersion(version uint64) Service { s.Version = version; return s }
func (m Model) key() string                          { return m.Name }
func (m Model) version() uint64                      { return m.Version }
func (m Model) withVersion(version uint64) Model     { m.Version = version; return m }
func (e Engine) key() string                         { return e.Name }
func (e Engine) version() uint64                     { return e.Version }
func (e Engine) withVersion(version uint64) Engine   { e.Version = version; return e }
func (s Server) key() string                         { return s.Name }
func (s Server) version() uint64                     { return s.Version }
func (s Server) withVersion(version uint64) Server   { s.Version = version; return s }
func (a Account) key() string                        { return a.Name }
func (a Account) version() uint64                    { return a.Version }
func (a Account) withVersion(version uint64) Account { a.Version = version; return a }
func (m Member) key() string                         { return m.Name }
func (m Member) version() uint64                     { return m.Version }
func (m Member) withVersion(version uint64) Member   { m.Version = version; return m }
func (s Strike) key() string                         { return s.Fingerprint }
func (s Strike) version() uint64                     { return s.Version }
func (s Strike) withVersion(version uint64) Strike   { s.Version = version; return s }
