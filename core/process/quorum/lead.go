package quorum

import "time"

// propose appends commands to the leader's log, or rejects them.
func (c *Core) propose(commands []Command) {
	for _, p := range commands {
		switch {
		case c.role != RoleLeader || c.transfer.requested:
			c.actions = append(c.actions, Rejected{ID: p.ID, Reason: ErrNotLeader})
		case c.log.last()-c.commitIndex >= uint64(c.settings.MaxUncommittedEntries) || c.uncommittedBytes >= c.settings.MaxUncommittedBytes:
			c.actions = append(c.actions, Rejected{ID: p.ID, Reason: ErrFull})
		default:
			e := Entry{Index: c.log.last() + 1, Term: c.hardState.Term, Kind: EntryCommand, Data: p.Data}
			c.appendNew(e)
			c.uncommittedBytes += len(e.Data)
			c.actions = append(c.actions, Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
		}
	}
}

// updatePeers keeps one progress for each other member of the configuration.
func (c *Core) updatePeers() {
	config := c.config()
	for _, m := range config.Members {
		if m.Identity == c.settings.Identity || c.peers[m.Identity] != nil {
			continue
		}
		c.peers[m.Identity] = &progress{next: c.log.last() + 1, probing: true, lastReply: c.now}
		// Entries appended during this step haven't been sent to it.
		if n := len(c.newEntries); n > 0 {
			c.peers[m.Identity].next -= uint64(n)
		}
	}
	for identity := range c.peers {
		if _, ok := config.Find(identity); !ok {
			delete(c.peers, identity)
		}
	}
}

func (c *Core) tickLeader() {
	if !c.hasRecentMajority() {
		c.note("no contact with a majority of the voters, stepping down")
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	// Ticks are coarse: send a little early rather than a whole tick late.
	if c.now+c.settings.HeartbeatInterval/heartbeatEarlyDivisor >= c.nextHeartbeat {
		c.sendHeartbeats()
	}
	c.handOverStalled()
	c.continueTransfer()
	if c.role == RoleLeader {
		c.repairMembership()
	}
}

// A heartbeat may be sent early by up to the heartbeat interval divided by
// heartbeatEarlyDivisor.
const heartbeatEarlyDivisor = 4

// majorityLossTimeouts is the number of election timeouts without contact to a
// majority after which a leader steps down. Its lease ends earlier.
const majorityLossTimeouts = 2

// hasRecentMajority reports whether a majority replied to messages of the last
// election timeouts, counted from the election at the earliest.
func (c *Core) hasRecentMajority() bool {
	since := max(c.electedAt, c.resumedAt)
	if sent, ok := c.majorityAckTime(); ok {
		since = max(since, sent)
	}
	return c.now-since <= majorityLossTimeouts*c.settings.ElectionTimeout
}

// sendHeartbeats sends an append without entries to each member.
func (c *Core) sendHeartbeats() {
	c.nextHeartbeat = c.now + c.settings.HeartbeatInterval
	c.round++
	for _, m := range c.config().Members {
		p := c.peers[m.Identity]
		if p == nil {
			continue
		}
		// The probe or chunk may be lost: allow another one.
		if p.awaitingReply && c.now >= p.retryAt {
			p.awaitingReply = false
			c.restartStaleSnapshot(p)
		}
		c.sendAppend(m, p, nil)
	}
}

// replicate sends pending entries or snapshot chunks to each member.
func (c *Core) replicate() {
	c.updatePeers()
	for _, m := range c.config().Members {
		p := c.peers[m.Identity]
		if p == nil {
			continue
		}
		c.replicateTo(m, p)
	}
}

// replicateTo sends entries to a member as far as its window allows, or a
// snapshot chunk if the entries were compacted.
func (c *Core) replicateTo(m Member, p *progress) {
	if p.next <= c.log.baseIndex {
		c.sendChunk(m, p)
		return
	}
	for p.next <= c.log.last() && !p.awaitingReply && len(p.inflight) < c.settings.MaxInflightMessages {
		entries := c.log.batch(p.next-1, c.settings.MaxBatchBytes)
		c.sendAppend(m, p, entries)
		if p.probing {
			p.awaitingReply, p.retryAt = true, c.now+c.settings.ElectionTimeout
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendAppend(m Member, p *progress, entries []Entry) {
	prevIndex := p.next - 1
	term, ok := c.log.term(prevIndex)
	if !ok {
		// The member needs a snapshot: send a heartbeat that matches any log.
		prevIndex, term = 0, 0
		entries = nil
	}
	c.send(m, Message{
		Kind:    MessageAppend,
		Term:    c.hardState.Term,
		Index:   prevIndex,
		LogTerm: term,
		Commit:  c.commitIndex,
		Entries: entries,
		SentAt:  c.now,
		Round:   c.round,
	}, afterHardState)
}

// handleReplicationReply handles the reply to an append or snapshot chunk.
func (c *Core) handleReplicationReply(m Message) {
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role != RoleLeader || m.Term < c.hardState.Term {
		return
	}
	p := c.peers[m.FromIdentity]
	if p == nil {
		return
	}
	c.recordReply(p, m)
	switch {
	case m.Kind == MessageChunkReply:
		c.handleChunkReply(p, m)
	case m.Reject:
		c.handleAppendRejected(p, m)
	default:
		c.handleAppendAccepted(p, m)
	}
	c.answerConfirmedReads()
}

// recordReply records that a member followed this leader when it replied.
func (c *Core) recordReply(p *progress, m Message) {
	p.lastReply, p.level = c.now, m.Level
	sent := m.SentAt
	if c.disabled.leaseFromSend {
		sent = c.now
	}
	if !p.hasReplied || sent > p.ackedSentAt {
		p.ackedSentAt, p.hasReplied = sent, true
	}
	p.ackedRound = max(p.ackedRound, m.Round)
}

func (c *Core) handleAppendAccepted(p *progress, m Message) {
	if m.Index > c.log.last() {
		panic("quorum: a member acknowledged entries that the leader never had")
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.snapshot != nil && p.match < p.snapshot.Index {
		return
	}
	p.probing, p.awaitingReply, p.snapshot = false, false, nil
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
}

// handleAppendRejected moves next back to where the logs may match.
func (c *Core) handleAppendRejected(p *progress, m Message) {
	if m.RequestIndex <= p.match || (p.probing && m.RequestIndex != p.next-1) {
		return
	}
	hint := min(m.Index, m.RequestIndex)
	for hint >= c.log.baseIndex {
		if term, ok := c.log.term(hint); ok && term <= m.LogTerm {
			break
		}
		hint--
	}
	p.next = max(min(hint+1, c.log.last()+1), p.match+1, 1)
	p.probing, p.awaitingReply, p.inflight = true, false, nil
}

// advanceCommit advances the commit index to the highest index that is durable
// on a majority. Entries of older terms are committed only together with an
// entry of the current term.
func (c *Core) advanceCommit() {
	index := majorityValue(c.voterSets(), c.matchIndex)
	if index <= c.commitIndex {
		return
	}
	if term, ok := c.log.term(index); !ok || (term != c.hardState.Term && !c.disabled.ownTermCommit) {
		return
	}
	c.setCommit(index)
	c.startDeferredReads()
	if c.configIndex() <= c.commitIndex && !c.config().IsVoter(c.settings.Identity) {
		c.note("removed from the configuration, stepping down")
		c.becomeFollower(c.hardState.Term, "")
	}
}

// matchIndex returns the last index known to be durable on a member.
func (c *Core) matchIndex(identity string) uint64 {
	switch p := c.peers[identity]; {
	case identity == c.settings.Identity && c.disabled.syncBeforeSend:
		return c.log.last()
	case identity == c.settings.Identity:
		return c.durableIndex
	case p != nil:
		return p.match
	default:
		return 0
	}
}

// majorityAckTime returns the latest time such that a majority replied to
// messages sent at or after it, and false if there is none.
func (c *Core) majorityAckTime() (time.Duration, bool) {
	sent := majorityValue(c.voterSets(), func(identity string) time.Duration {
		switch p := c.peers[identity]; {
		case identity == c.settings.Identity:
			return c.now
		case p != nil && p.hasReplied:
			return p.ackedSentAt
		default:
			return neverAcked
		}
	})
	return sent, sent > neverAcked
}

// neverAcked stands for a member that hasn't replied yet.
const neverAcked = time.Duration(-1)
