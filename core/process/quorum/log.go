package quorum

import "fmt"

// entryLog is the part of the log after the last compaction, kept in memory.
// baseIndex and baseTerm belong to the entry before the first one kept.
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

// term returns the term of the entry at index, and false if that entry is
// compacted or past the end.
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

// slice returns the entries from after+1 to last, both included.
func (l *entryLog) slice(after, last uint64) []Entry {
	lo, hi := after-l.baseIndex, last-l.baseIndex
	return l.entries[lo:hi:hi]
}

// batch returns the entries after index that fit into maxBytes, and at least one
// if there is any.
func (l *entryLog) batch(index uint64, maxBytes int) []Entry {
	all := l.slice(index, l.last())
	used := 0
	for i := range all {
		used += len(all[i].Data) + entryOverheadBytes
		if used > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// startOfLast returns the index before the longest run of entries up to last that
// fits into maxBytes.
func (l *entryLog) startOfLast(maxBytes int, last uint64) uint64 {
	used := 0
	for index := last; index > l.baseIndex; index-- {
		used += len(l.entries[index-l.baseIndex-1].Data) + entryOverheadBytes
		if used > maxBytes {
			return index
		}
	}
	return l.baseIndex
}

// entryOverheadBytes estimates the encoded size of an entry without its data.
const entryOverheadBytes = 16

// append appends entries. It panics if they aren't contiguous or terms decrease.
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

// truncate drops the entries from index on. The dropped ones are not overwritten
// in memory, because queued messages may still refer to them.
func (l *entryLog) truncate(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log. The next entry follows the given position.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}
