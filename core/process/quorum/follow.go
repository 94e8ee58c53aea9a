package quorum

// handleLeaderMessage handles entries, heartbeats and snapshot chunks of a
// leader. It rejects those of an older term.
func (c *Core) handleLeaderMessage(m Message) {
	if m.Term < c.hardState.Term {
		c.reply(m, Message{Kind: MessageAppendReply, Reject: true, Index: c.log.last(), RequestIndex: m.Index})
		return
	}
	if m.Term == c.hardState.Term && c.role == RoleLeader {
		panic("quorum: two leaders in one term")
	}
	if m.Term > c.hardState.Term || c.role != RoleFollower || c.leader != m.FromIdentity {
		c.becomeFollower(m.Term, m.FromIdentity)
		c.introduced = nil
	}
	c.leaderContact = c.now
	c.resetElectionDeadline()
	if m.Kind == MessageChunk {
		c.handleChunk(m)
		return
	}
	c.handleAppend(m)
}

// handleAppend appends the leader's entries where the logs match and advances
// the commit index. Entries of the local log that conflict are dropped.
func (c *Core) handleAppend(m Message) {
	prevIndex, entries := m.Index, m.Entries
	if prevIndex < c.commitIndex && len(entries) > 0 {
		// Committed entries can't conflict: each elected leader has them all.
		skip := min(c.commitIndex-prevIndex, uint64(len(entries)))
		prevIndex, entries = prevIndex+skip, entries[skip:]
	}
	term, ok := c.log.term(prevIndex)
	matches := prevIndex < c.commitIndex || (ok && (prevIndex == m.Index && term == m.LogTerm || prevIndex > m.Index))
	if !matches {
		c.rejectAppend(m)
		return
	}
	last := prevIndex + uint64(len(entries))
	for i, e := range entries {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncateLog(e.Index)
		}
		for _, e := range entries[i:] {
			c.appendNew(e)
		}
		break
	}
	if commit := min(m.Commit, last); commit > c.commitIndex {
		c.setCommit(commit)
	}
	reply := Message{Kind: MessageAppendReply, Index: last, SentAt: m.SentAt, Round: m.Round}
	if len(m.Entries) == 0 {
		// A slow write isn't silence: the leader would step down.
		reply.Index = min(last, c.durableIndex)
		c.replyWith(m, reply, afterHardState)
		return
	}
	c.reply(m, reply)
}

// rejectAppend rejects an append and hints at the last index where the logs may
// match.
func (c *Core) rejectAppend(m Message) {
	hint := min(m.Index, c.log.last())
	term, _ := c.log.term(hint)
	for hint > c.commitIndex && term > m.LogTerm {
		hint--
		term, _ = c.log.term(hint)
	}
	c.replyWith(m, Message{
		Kind:         MessageAppendReply,
		Reject:       true,
		RequestIndex: m.Index,
		Index:        hint,
		LogTerm:      term,
		SentAt:       m.SentAt,
		Round:        m.Round,
	}, afterHardState)
}
