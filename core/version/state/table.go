package state

import (
	"cmp"
	"slices"
)

// object is what the tables need of the values in them.
type object[T any] interface {
	key() string
	stamp() uint64
	stamped(version uint64) T
}

// table holds the objects of one noun by name.
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

// after returns the objects changed after a version, sorted by name. Nil
// stands for none, so that equal views have equal encodings.
func (t *table[T]) after(since uint64) []T {
	var changed []T
	for _, o := range t.rows {
		if o.stamp() > since {
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

// put stores an object under the version that the current command makes.
func put[T object[T]](s *State, t *table[T], o T) {
	s.touch()
	t.rows[o.key()] = o.stamped(s.index)
	delete(s.removed, removedKey{t.noun, o.key()})
}

// drop removes an object and leaves a tombstone.
func drop[T object[T]](s *State, t *table[T], name string) {
	if !t.has(name) {
		return
	}
	s.touch()
	delete(t.rows, name)
	s.bury(t.noun, name)
}

func (s Service) key() string                    { return s.Name }
func (s Service) stamp() uint64                  { return s.Version }
func (s Service) stamped(version uint64) Service { s.Version = version; return s }
func (m Model) key() string                      { return m.Name }
func (m Model) stamp() uint64                    { return m.Version }
func (m Model) stamped(version uint64) Model     { m.Version = version; return m }
func (e Engine) key() string                     { return e.Name }
func (e Engine) stamp() uint64                   { return e.Version }
func (e Engine) stamped(version uint64) Engine   { e.Version = version; return e }
func (s Server) key() string                     { return s.Name }
func (s Server) stamp() uint64                   { return s.Version }
func (s Server) stamped(version uint64) Server   { s.Version = version; return s }
func (a Account) key() string                    { return a.Name }
func (a Account) stamp() uint64                  { return a.Version }
func (a Account) stamped(version uint64) Account { a.Version = version; return a }
func (m Member) key() string                     { return m.Name }
func (m Member) stamp() uint64                   { return m.Version }
func (m Member) stamped(version uint64) Member   { m.Version = version; return m }
func (s Strike) key() string                     { return s.Fingerprint }
func (s Strike) stamp() uint64                   { return s.Version }
func (s Strike) stamped(version uint64) Strike   { s.Version = version; return s }
