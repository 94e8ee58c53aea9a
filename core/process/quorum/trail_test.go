package quorum

import "testing"

// A member that receives an old snapshot must not make the leader keep all entries.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	const entryBytes, maxBytes, entries, saved = 1000, 20000, 900, 800
	c := New(Settings{Identity: "a", TrailingEntries: entries, TrailingBytes: maxBytes}, DurableState{}, nil, 0)
	for i := range uint64(entries) {
		c.addEntry(Entry{Index: i + 1, Term: 1, Data: make([]byte, entryBytes)})
	}
	c.commitIndex, c.appliedIndex = entries, entries
	c.peers["b"] = &progress{snapshot: &SnapshotMeta{Index: 3}}
	c.handleSnapshotSaved(SnapshotMeta{Index: saved, Term: 1})
	kept := c.log.slice(c.log.baseIndex, saved)
	if n := dataBytes(kept); n > maxBytes || n < maxBytes/2 {
		t.Errorf("%d bytes kept before the snapshot, limit %d", n, maxBytes)
	}
	if c.log.last() != entries {
		t.Errorf("last entry %d, want %d", c.log.last(), entries)
	}
}
