package quorum

import "fmt"

// receiving collects the pieces of a snapshot.
type receiving struct {
	meta Meta
	data []byte
}

// Describe returns what a snapshot of the state after index must carry; false
// if the log no longer reaches there.
func (c *Core) Describe(index uint64) (Meta, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.Index || index > c.applied {
		return Meta{}, false
	}
	config := c.configs[0].config
	for _, p := range c.configs {
		if p.index <= index {
			config = p.config
		}
	}
	return Meta{Index: index, Term: term, Config: config}, true
}

// saved drops the log that a durable snapshot covers, but for a rest that
// spares members that lag a little the whole snapshot.
func (c *Core) saved(meta Meta) {
	if meta.Index <= c.snapshot.Index {
		return
	}
	if meta.Index > c.applied {
		panic(fmt.Sprintf("quorum: snapshot %d past the applied %d", meta.Index, c.applied))
	}
	c.snapshot = meta
	for len(c.configs) > 1 && c.configs[1].index <= meta.Index {
		c.configs = c.configs[1:]
	}
	upTo := uint64(0)
	if meta.Index > c.settings.Keep {
		upTo = meta.Index - c.settings.Keep
	}
	for _, p := range c.peers {
		if p.piece != nil {
			upTo = min(upTo, p.piece.Index)
		}
	}
	if upTo > c.log.baseIndex {
		c.log.compact(upTo)
	}
}

// sendPiece sends the next piece of a snapshot, one at a time.
func (c *Core) sendPiece(m Member, p *progress) {
	if p.waiting {
		return
	}
	if p.piece == nil {
		meta := c.snapshot
		p.piece, p.offset = &meta, 0
	}
	p.waiting, p.resend = true, c.now+c.settings.Election
	c.send(m, Message{
		Kind:   MessagePiece,
		Term:   c.hard.Term,
		Meta:   p.piece,
		Offset: p.offset,
		Sent:   c.now,
		Round:  c.round,
	}, waitHard)
}

// restartPieces turns to the newest snapshot if the older got stuck.
func (c *Core) restartPieces(p *progress) {
	if p.piece != nil && p.piece.Index != c.snapshot.Index {
		p.piece, p.offset = nil, 0
	}
}

// takePiece collects a piece; the last one installs the snapshot.
func (c *Core) takePiece(m Message) {
	if c.holds(*m.Meta) {
		c.receive = receiving{}
		c.reply(m, Message{Kind: MessageAppendReply, Index: m.Meta.Index, Sent: m.Sent, Round: m.Round})
		return
	}
	if c.receive.meta.Index != m.Meta.Index || c.receive.meta.Term != m.Meta.Term {
		c.receive = receiving{meta: *m.Meta}
	}
	if m.Offset == int64(len(c.receive.data)) {
		c.receive.data = append(c.receive.data, m.Data...)
	}
	if int64(len(c.receive.data)) < m.Meta.Size {
		c.reply(m, Message{
			Kind:   MessagePieceReply,
			Tried:  m.Meta.Index,
			Offset: int64(len(c.receive.data)),
			Sent:   m.Sent,
			Round:  m.Round,
		})
		return
	}
	c.installSnapshot(Snapshot{Meta: c.receive.meta, Data: c.receive.data})
	c.receive = receiving{}
	c.reply(m, Message{Kind: MessageAppendReply, Index: m.Meta.Index, Sent: m.Sent, Round: m.Round})
}

// holds tells whether the log already has what a snapshot covers.
func (c *Core) holds(meta Meta) bool {
	if meta.Index <= c.commit {
		return true
	}
	term, ok := c.log.term(meta.Index)
	if !ok || term != meta.Term {
		return false
	}
	c.setCommit(meta.Index)
	return true
}

func (c *Core) installSnapshot(s Snapshot) {
	if s.Meta.Index <= c.commit {
		panic(fmt.Sprintf("quorum: snapshot %d behind the commit %d", s.Meta.Index, c.commit))
	}
	c.log.reset(s.Meta.Index, s.Meta.Term)
	c.configs = []placedConfig{place(s.Meta.Index, s.Meta.Config)}
	c.snapshot = s.Meta
	c.commit, c.applied, c.durable = s.Meta.Index, s.Meta.Index, s.Meta.Index
	for i := range c.persists {
		c.persists[i].last = s.Meta.Index
	}
	c.install = &s
	c.note("took over a snapshot at %d", s.Meta.Index)
}

func (c *Core) pieceReplied(p *progress, m Message) {
	if p.piece == nil || m.Tried != p.piece.Index {
		return
	}
	p.offset, p.waiting = m.Offset, false
}
