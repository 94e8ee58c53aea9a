package quorum

import "time"

// propose appends commands to the leader's log.
func (c *Core) propose(commands []Command) {
	for _, p := range commands {
		switch {
		case c.role != RoleLeader || c.transfer.asked:
			c.actions = append(c.actions, Rejected{ID: p.ID, Reason: ErrNotLeader})
		case c.log.last()-c.commit >= uint64(c.settings.Pending) || c.open >= c.settings.Waiting:
			c.actions = append(c.actions, Rejected{ID: p.ID, Reason: ErrFull})
		default:
			e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryCommand, Data: p.Data}
			c.appendFresh(e)
			c.open += len(e.Data)
			c.actions = append(c.actions, Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
		}
	}
}

// trackPeers keeps a progress for each other member of the configuration.
func (c *Core) trackPeers() {
	config := c.config()
	for _, m := range config.Members {
		if m.Identity == c.settings.Identity || c.peers[m.Identity] != nil {
			continue
		}
		c.peers[m.Identity] = &progress{next: c.log.last() + 1, probing: true, heard: c.now}
		// The leader's own newest entries are not there yet.
		if n := len(c.fresh); n > 0 {
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
	if !c.holdsQuorum() {
		c.note("lost touch with the majority")
		c.fall(c.hard.Term, "")
		return
	}
	// Ticks are coarse: a little early is better than a tick late.
	if c.now+c.settings.Heartbeat/earlyShare >= c.beat {
		c.heartbeat()
	}
	c.tryTransfer()
	if c.role == RoleLeader {
		c.repair()
	}
}

// earlyShare is the part of a heartbeat by which the next may come early.
const earlyShare = 4

// checkShare is the number of election timeouts without a majority after
// which a leader gives up. Its lease ends earlier.
const checkShare = 2

func (c *Core) holdsQuorum() bool {
	since := c.elected
	if sent, ok := c.quorumSent(); ok {
		since = max(since, sent)
	}
	return c.now-since <= checkShare*c.settings.Election
}

// heartbeat sends to each member, entries or not.
func (c *Core) heartbeat() {
	c.beat = c.now + c.settings.Heartbeat
	c.round++
	for _, m := range c.config().Members {
		p := c.peers[m.Identity]
		if p == nil {
			continue
		}
		// A probe or piece without an answer may be lost.
		if p.waiting && c.now >= p.resend {
			p.waiting = false
			c.restartPieces(p)
		}
		c.sendAppend(m, p, nil)
	}
}

// replicate sends new entries to the members that have room.
func (c *Core) replicate() {
	c.trackPeers()
	for _, m := range c.config().Members {
		p := c.peers[m.Identity]
		if p == nil {
			continue
		}
		c.feed(m, p)
	}
}

func (c *Core) feed(m Member, p *progress) {
	if p.next <= c.log.baseIndex {
		c.sendPiece(m, p)
		return
	}
	for p.next <= c.log.last() && !p.waiting && len(p.inflight) < c.settings.Window {
		entries := c.log.batch(p.next-1, c.settings.Batch)
		c.sendAppend(m, p, entries)
		if p.probing {
			p.waiting, p.resend = true, c.now+c.settings.Election
			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendAppend(m Member, p *progress, entries []Entry) {
	before := p.next - 1
	term, ok := c.log.term(before)
	if !ok {
		// The member needs a snapshot; the heartbeat goes without a claim.
		before, term = 0, 0
		entries = nil
	}
	c.send(m, Message{
		Kind:    MessageAppend,
		Term:    c.hard.Term,
		Index:   before,
		LogTerm: term,
		Commit:  c.commit,
		Entries: entries,
		Sent:    c.now,
		Round:   c.round,
	}, waitHard)
}

// replied takes the answer to an append or piece.
func (c *Core) replied(m Message) {
	if m.Term > c.hard.Term {
		c.fall(m.Term, "")
		return
	}
	if c.role != RoleLeader || m.Term < c.hard.Term {
		return
	}
	p := c.peers[m.FromIdentity]
	if p == nil {
		return
	}
	c.confirm(p, m)
	switch {
	case m.Kind == MessagePieceReply:
		c.pieceReplied(p, m)
	case m.Reject:
		c.refused(p, m)
	default:
		c.matched(p, m)
	}
	c.answerReads()
}

// confirm notes that a member followed this leader when it answered.
func (c *Core) confirm(p *progress, m Message) {
	p.heard = c.now
	sent := m.Sent
	if c.faults.leaseAtReply {
		sent = c.now
	}
	if !p.answered || sent > p.acked {
		p.acked, p.answered = sent, true
	}
	p.round = max(p.round, m.Round)
}

func (c *Core) matched(p *progress, m Message) {
	if m.Index > c.log.last() {
		panic("quorum: a member acknowledged entries that the leader never had")
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.piece != nil && p.match < p.piece.Index {
		return
	}
	p.probing, p.waiting, p.piece = false, false, nil
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
}

// refused steps back to where the logs may match.
func (c *Core) refused(p *progress, m Message) {
	if m.Tried <= p.match || (p.probing && m.Tried != p.next-1) {
		return
	}
	hint := min(m.Index, m.Tried)
	for hint >= c.log.baseIndex {
		if term, ok := c.log.term(hint); ok && term <= m.LogTerm {
			break
		}
		hint--
	}
	p.next = max(min(hint+1, c.log.last()+1), p.match+1, 1)
	p.probing, p.waiting, p.inflight = true, false, nil
}

// advanceCommit moves the commit index to what a majority made durable.
// Entries of older terms are only committed along with one of this term.
func (c *Core) advanceCommit() {
	index := reached(c.sets(), c.matchOf)
	if index <= c.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || (term != c.hard.Term && !c.faults.commitOld) {
		return
	}
	c.setCommit(index)
	c.startReads()
	if c.configIndex() <= c.commit && !c.config().Voter(c.settings.Identity) {
		c.note("was removed")
		c.fall(c.hard.Term, "")
	}
}

// matchOf is the index up to which the log is known to be durable at a member.
func (c *Core) matchOf(identity string) uint64 {
	switch p := c.peers[identity]; {
	case identity == c.settings.Identity && c.faults.sendEarly:
		return c.log.last()
	case identity == c.settings.Identity:
		return c.durable
	case p != nil:
		return p.match
	default:
		return 0
	}
}

// quorumSent returns the newest time such that a majority answered messages
// sent at it or later.
func (c *Core) quorumSent() (time.Duration, bool) {
	sent := reached(c.sets(), func(identity string) time.Duration {
		switch p := c.peers[identity]; {
		case identity == c.settings.Identity:
			return c.now
		case p != nil && p.answered:
			return p.acked
		default:
			return unanswered
		}
	})
	return sent, sent > unanswered
}

// unanswered stands for no time at all.
const unanswered = time.Duration(-1)
