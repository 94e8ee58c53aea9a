package quorum

import "time"

// tick lets time pass.
func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.leader == "" {
		c.sayHello()
		c.found()
	}
	if c.role != RoleLeader && c.now >= c.deadline {
		c.timeout()
	}
}

// timeout ends the wait for a leader.
func (c *Core) timeout() {
	c.leader = ""
	c.resetDeadline()
	if !c.electable() {
		c.role = RoleFollower
		return
	}
	if c.faults.noPreVote {
		c.campaign(false)
		return
	}
	c.preVote()
}

// electable tells whether this member may campaign. One whose removal isn't
// committed must: it may alone have the newest log, the removal included.
func (c *Core) electable() bool {
	for i := len(c.configs) - 1; i >= 0; i-- {
		if c.configs[i].config.Voter(c.settings.Identity) {
			return true
		}
		if c.configs[i].index <= c.commit {
			break
		}
	}
	return false
}

// preVote asks whether an election could be won, without a new term: a member
// that was cut off must not disturb the others when it returns.
func (c *Core) preVote() {
	c.role = RolePre
	c.votes = map[string]bool{c.settings.Identity: true}
	// Refused pre-votes cost nothing, so they are repeated soon.
	c.deadline = c.now + c.settings.Heartbeat + c.jitter(c.settings.Heartbeat)
	if c.wins() {
		c.campaign(false)
		return
	}
	c.askVotes(MessagePre, c.hard.Term+1)
}

// campaign starts an election in a new term.
func (c *Core) campaign(force bool) {
	c.role, c.leader, c.force = RoleCandidate, "", force
	c.setHard(HardState{Group: c.hard.Group, Term: c.hard.Term + 1, Vote: c.settings.Identity})
	c.votes = map[string]bool{c.settings.Identity: true}
	c.deadline = c.now + c.settings.Election/2 + c.jitter(c.settings.Election/2)
	if c.wins() {
		c.win()
		return
	}
	c.askVotes(MessageVote, c.hard.Term)
}

func (c *Core) askVotes(kind MessageKind, term uint64) {
	for _, m := range c.config().Members {
		if (!m.Voter && !m.Outgoing) || m.Identity == c.settings.Identity {
			continue
		}
		c.send(m, Message{
			Kind:    kind,
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
			Force:   c.force && kind == MessageVote,
		}, waitAll)
	}
}

// wins tells whether a majority of the voters granted.
func (c *Core) wins() bool {
	return c.sets().majority(func(identity string) bool { return c.votes[identity] })
}

// bound tells whether this member must not vote because a leader may hold a
// lease that counts on it. After a start it can't know, and waits.
func (c *Core) bound() bool {
	if c.faults.noVoteLease {
		return false
	}
	if c.role == RoleLeader {
		return true
	}
	if c.faults.noStartWait && c.leader == "" {
		return false
	}
	return c.now-c.heard < c.settings.Election
}

// current tells whether a candidate's log is as new as the own one.
func (c *Core) current(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

// pre answers whether this member would vote. It promises nothing.
func (c *Core) pre(m Message) {
	if c.bound() {
		return
	}
	if m.Term <= c.hard.Term || !c.current(m) {
		c.reply(m, Message{Kind: MessagePreReply, Reject: true})
		return
	}
	c.yield(m)
	c.reply(m, Message{Kind: MessagePreReply, Round: m.Term})
}

// yield holds the own campaign back for one that asked first, or at the same
// time with a lower identity: two at once would split the votes.
func (c *Core) yield(m Message) {
	if c.role == RolePre && c.settings.Identity < m.FromIdentity {
		return
	}
	if c.role == RolePre {
		c.role = RoleFollower
	}
	c.deadline = max(c.deadline, c.now+2*c.settings.Heartbeat)
}

// vote grants at most one vote in a term, durably.
func (c *Core) vote(m Message) {
	if c.bound() && !m.Force {
		return
	}
	if m.Term > c.hard.Term {
		c.fall(m.Term, "")
	}
	free := c.hard.Vote == "" || c.hard.Vote == m.FromIdentity
	if m.Term < c.hard.Term || !free || !c.current(m) {
		c.reply(m, Message{Kind: MessageVoteReply, Reject: true})
		return
	}
	c.setHard(HardState{Group: c.hard.Group, Term: c.hard.Term, Vote: m.FromIdentity})
	c.role = RoleFollower
	c.resetDeadline()
	c.reply(m, Message{Kind: MessageVoteReply})
}

// voted counts a vote.
func (c *Core) voted(m Message) {
	if m.Term > c.hard.Term && m.Reject {
		c.fall(m.Term, "")
		return
	}
	if m.Reject {
		return
	}
	switch {
	case m.Kind == MessagePreReply && c.role == RolePre && m.Round == c.hard.Term+1:
		c.votes[m.FromIdentity] = true
		if c.wins() {
			c.campaign(false)
		}
	case m.Kind == MessageVoteReply && c.role == RoleCandidate && m.Term == c.hard.Term:
		c.votes[m.FromIdentity] = true
		if c.wins() {
			c.win()
		}
	}
}

// win makes this member the leader. The empty entry lets it commit what
// earlier terms left.
func (c *Core) win() {
	c.appendFresh(Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryEmpty})
	c.lead()
}

func (c *Core) lead() {
	c.role, c.leader = RoleLeader, c.settings.Identity
	c.elected, c.beat = c.now, c.now
	c.first = c.log.last()
	c.open = size(c.log.slice(c.commit, c.log.last()))
	c.peers = make(map[string]*progress)
	c.reads, c.waiting = nil, nil
	c.transfer = transfer{}
	c.founder = ""
	c.trackPeers()
	c.note("leads term %d", c.hard.Term)
}

// fall makes this member a follower in a term.
func (c *Core) fall(term uint64, leader string) {
	if c.role == RoleLeader {
		c.demote()
	}
	if term > c.hard.Term {
		c.setHard(HardState{Group: c.hard.Group, Term: term})
	}
	if c.role != RoleFollower || c.leader != leader {
		c.resetDeadline()
	}
	c.role, c.leader, c.force = RoleFollower, leader, false
}

// demote ends leadership and refuses what waits for it.
func (c *Core) demote() {
	for _, r := range append(c.reads, c.waiting...) {
		c.actions = append(c.actions, Rejected{ID: r.id, Reason: ErrLost})
	}
	c.reads, c.waiting = nil, nil
	c.peers = make(map[string]*progress)
	c.actions = append(c.actions, Demoted{Term: c.hard.Term})
	c.note("leads no longer, term %d", c.hard.Term)
}

// takeOver campaigns at once because the leader gave up its lease.
func (c *Core) takeOver(m Message) {
	if m.Term != c.hard.Term || m.FromIdentity != c.leader || !c.electable() {
		return
	}
	c.campaign(true)
}

// startTransfer hands leadership to the member with the newest log.
func (c *Core) startTransfer() {
	if c.role != RoleLeader || c.transfer.asked {
		return
	}
	c.transfer = transfer{asked: true, expires: c.now + c.settings.Election}
}

// tryTransfer asks the best voter to take over once it has the whole log.
func (c *Core) tryTransfer() {
	if !c.transfer.asked {
		return
	}
	if c.now >= c.transfer.expires {
		c.fall(c.hard.Term, "")
		return
	}
	if c.transfer.target != "" {
		return
	}
	for _, m := range c.config().Members {
		p := c.peers[m.Identity]
		if !m.Voter || p == nil || p.match != c.log.last() || c.now-p.heard > c.settings.Election {
			continue
		}
		c.transfer.target, c.transfer.void = m.Identity, true
		c.send(m, Message{Kind: MessageCampaign, Term: c.hard.Term}, waitAll)
		return
	}
}

// Lease returns the term and the time until which no other member can lead;
// the zero time if this member holds no lease.
func (c *Core) Lease() (term uint64, until time.Duration) {
	if c.role != RoleLeader || c.transfer.void {
		return c.hard.Term, 0
	}
	sent, ok := c.quorumSent()
	if !ok {
		return c.hard.Term, 0
	}
	return c.hard.Term, sent + c.leaseTerm()
}

// leaseTerm is how long a lease lasts from the sending of the heartbeats. The
// voters wait one election timeout from their arrival. The own clock may be
// slow and theirs fast.
func (c *Core) leaseTerm() time.Duration {
	if c.faults.noMargin {
		return c.settings.Election
	}
	share := (1 - c.settings.Drift) / (1 + c.settings.Drift)
	return time.Duration(float64(c.settings.Election) * share)
}
