package quorum

import "fmt"

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// SnapshotMeta returns the metadata for a snapshot of the state after index, and
// false if that index isn't applied, isn't in the log any more, or isn't after
// the last snapshot.
func (c *Core) SnapshotMeta(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshotMeta.Index || index > c.appliedIndex {
		return SnapshotMeta{}, false
	}
	config := c.configs[0].config
	for _, p := range c.configs {
		if p.index <= index {
			config = p.config
		}
	}
	return SnapshotMeta{Index: index, Term: term, Config: config}, true
}

// handleSnapshotSaved compacts the log up to a durable snapshot. It keeps some
// trailing entries, so that members that lag a little don't need the whole
// snapshot.
func (c *Core) handleSnapshotSaved(meta SnapshotMeta) {
	if meta.Index <= c.snapshotMeta.Index {
		return
	}
	if meta.Index > c.appliedIndex {
		panic(fmt.Sprintf("quorum: snapshot %d is past the applied index %d", meta.Index, c.appliedIndex))
	}
	c.snapshotMeta = meta
	for len(c.configs) > 1 && c.configs[1].index <= meta.Index {
		c.configs = c.configs[1:]
	}
	compactTo := uint64(0)
	if meta.Index > c.settings.TrailingEntries {
		compactTo = meta.Index - c.settings.TrailingEntries
	}
	for _, p := range c.peers {
		if p.snapshot != nil {
			compactTo = min(compactTo, p.snapshot.Index)
		}
	}
	if c.settings.TrailingBytes > 0 {
		compactTo = max(compactTo, c.log.startOfLast(c.settings.TrailingBytes, meta.Index))
	}
	if compactTo > c.log.baseIndex {
		c.log.compact(compactTo)
	}
}

// sendChunk sends the next snapshot chunk unless the previous one has no reply
// yet.
func (c *Core) sendChunk(m Member, p *progress) {
	if p.awaitingReply {
		return
	}
	if p.snapshot == nil {
		meta := c.snapshotMeta
		p.snapshot, p.snapshotOffset = &meta, 0
	}
	p.awaitingReply, p.retryAt = true, c.now+c.settings.ElectionTimeout
	c.send(m, Message{
		Kind:   MessageChunk,
		Term:   c.hardState.Term,
		Meta:   p.snapshot,
		Offset: p.snapshotOffset,
		SentAt: c.now,
		Round:  c.round,
	}, afterHardState)
}

// restartStaleSnapshot makes a stalled snapshot start over if a newer one
// exists.
func (c *Core) restartStaleSnapshot(p *progress) {
	if p.snapshot != nil && p.snapshot.Index != c.snapshotMeta.Index {
		p.snapshot, p.snapshotOffset = nil, 0
	}
}

// handleChunk collects a snapshot chunk. The last one installs the snapshot.
func (c *Core) handleChunk(m Message) {
	if c.coveredByLog(*m.Meta) {
		c.incoming = incomingSnapshot{}
		c.reply(m, Message{Kind: MessageAppendReply, Index: m.Meta.Index, SentAt: m.SentAt, Round: m.Round})
		return
	}
	if c.incoming.meta.Index != m.Meta.Index || c.incoming.meta.Term != m.Meta.Term {
		c.incoming = incomingSnapshot{meta: *m.Meta}
	}
	if m.Offset == int64(len(c.incoming.data)) {
		c.incoming.data = append(c.incoming.data, m.Data...)
	}
	if int64(len(c.incoming.data)) < m.Meta.Size {
		c.reply(m, Message{
			Kind:         MessageChunkReply,
			RequestIndex: m.Meta.Index,
			Offset:       int64(len(c.incoming.data)),
			SentAt:       m.SentAt,
			Round:        m.Round,
		})
		return
	}
	c.installSnapshot(Snapshot{Meta: c.incoming.meta, Data: c.incoming.data})
	c.incoming = incomingSnapshot{}
	c.reply(m, Message{Kind: MessageAppendReply, Index: m.Meta.Index, SentAt: m.SentAt, Round: m.Round})
}

// coveredByLog reports whether the log already has all that a snapshot covers.
// If so, all of that is committed when it returns.
func (c *Core) coveredByLog(meta SnapshotMeta) bool {
	if meta.Index <= c.commitIndex {
		return true
	}
	term, ok := c.log.term(meta.Index)
	if !ok || term != meta.Term {
		return false
	}
	c.setCommit(meta.Index)
	return true
}

// installSnapshot replaces the log and the state by a snapshot of the leader.
func (c *Core) installSnapshot(s Snapshot) {
	if s.Meta.Index <= c.commitIndex {
		panic(fmt.Sprintf("quorum: snapshot %d is not past the commit index %d", s.Meta.Index, c.commitIndex))
	}
	c.log.reset(s.Meta.Index, s.Meta.Term)
	c.configs = []indexedConfig{newIndexedConfig(s.Meta.Index, s.Meta.Config)}
	c.snapshotMeta = s.Meta
	c.commitIndex, c.appliedIndex, c.durableIndex = s.Meta.Index, s.Meta.Index, s.Meta.Index
	for i := range c.pendingPersists {
		c.pendingPersists[i].lastIndex = s.Meta.Index
	}
	c.newSnapshot = &s
	c.note("installed the leader's snapshot at index %d", s.Meta.Index)
}

// handleChunkReply goes on at the offset that the member asks for.
func (c *Core) handleChunkReply(p *progress, m Message) {
	if p.snapshot == nil || m.RequestIndex != p.snapshot.Index {
		return
	}
	p.snapshotOffset, p.awaitingReply = m.Offset, false
}
