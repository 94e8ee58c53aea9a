package quorum

// follow takes a message of the leader.
func (c *Core) follow(m Message) {
	if m.Term < c.hard.Term {
		c.reply(m, Message{Kind: MessageAppendReply, Reject: true, Index: c.log.last(), Tried: m.Index})
		return
	}
	if m.Term == c.hard.Term && c.role == RoleLeader {
		panic("quorum: two leaders in one term")
	}
	if m.Term > c.hard.Term || c.role != RoleFollower || c.leader != m.FromIdentity {
		c.fall(m.Term, m.FromIdentity)
	}
	c.heard = c.now
	c.resetDeadline()
	if m.Kind == MessagePiece {
		c.takePiece(m)
		return
	}
	c.takeEntries(m)
}

func (c *Core) takeEntries(m Message) {
	before, entries := m.Index, m.Entries
	if before < c.commit && len(entries) > 0 {
		// What is committed here matches by the election rule.
		skip := min(c.commit-before, uint64(len(entries)))
		before, entries = before+skip, entries[skip:]
	}
	term, ok := c.log.term(before)
	known := before < c.commit || (ok && (before == m.Index && term == m.LogTerm || before > m.Index))
	if !known {
		c.refuse(m)
		return
	}
	last := before + uint64(len(entries))
	for i, e := range entries {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncate(e.Index)
		}
		for _, e := range entries[i:] {
			c.appendFresh(e)
		}
		break
	}
	if commit := min(m.Commit, last); commit > c.commit {
		c.setCommit(commit)
	}
	c.reply(m, Message{Kind: MessageAppendReply, Index: last, Sent: m.Sent, Round: m.Round})
}

// refuse tells the leader where the logs may match.
func (c *Core) refuse(m Message) {
	hint := min(m.Index, c.log.last())
	term, _ := c.log.term(hint)
	for hint > c.commit && term > m.LogTerm {
		hint--
		term, _ = c.log.term(hint)
	}
	c.reply(m, Message{
		Kind:    MessageAppendReply,
		Reject:  true,
		Tried:   m.Index,
		Index:   hint,
		LogTerm: term,
		Sent:    m.Sent,
		Round:   m.Round,
	})
}
