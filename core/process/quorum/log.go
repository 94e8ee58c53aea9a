package quorum

import "fmt"

// entryLog is the part of the log that is kept in memory. base is the
// position before the first entry.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at index; false if the log doesn't reach there.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index < l.baseIndex || index > l.last():
		return 0, false
	case index == l.baseIndex:
		return l.baseTerm, true
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

// slice returns the entries after index up to and with last.
func (l *entryLog) slice(index, last uint64) []Entry {
	from, to := index-l.baseIndex, last-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries after index that fit into a number of bytes, at least
// one if there is one.
func (l *entryLog) batch(index uint64, bytes int) []Entry {
	all := l.slice(index, l.last())
	used := 0
	for i := range all {
		used += len(all[i].Data) + entryOverhead
		if used > bytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// entryOverhead estimates the bytes of an entry beside its data.
const entryOverhead = 16

// append adds consecutive entries after the last.
func (l *entryLog) append(entries ...Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("quorum: entry %d appended after %d", e.Index, l.last()))
		}
		if e.Term < l.lastTerm() {
			panic(fmt.Sprintf("quorum: term falls from %d to %d at entry %d", l.lastTerm(), e.Term, e.Index))
		}
		l.entries = append(l.entries, e)
	}
}

// truncate drops the entries from index on. Messages may still refer to the
// old ones, so they are not overwritten.
func (l *entryLog) truncate(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log; it goes on after a position.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}
