package quorum

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// tick runs the timers: heartbeats and repair on a leader, discovery, bootstrap
// and the election timeout on any other member.
func (c *Core) tick() {
	c.allowForHoldUp()
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.leader == "" {
		c.sendHellos()
		c.tryBootstrap()
	}
	if c.role != RoleLeader && c.now >= c.electionDeadline {
		c.handleElectionTimeout()
	}
}

// electionNoteInterval is the time between two notes of a member that can't get a leader
// elected.
const electionNoteInterval = 2 * time.Second

// handleElectionTimeout starts a campaign if this member may lead.
func (c *Core) handleElectionTimeout() {
	if c.leader != "" || c.now-c.electionNoted >= electionNoteInterval {
		c.electionNoted = c.now
		c.note("no leader for %s: %s in term %d, votes of %d members, voters %s, hello to %s, %s, last entry %d of term %d, %d writes pending",
			(c.now - c.leaderContact).Round(time.Millisecond), c.role, c.hardState.Term, len(c.ballot()), c.config().voterNames(),
			strings.Join(c.knownInstances(), " "), c.lastSender(), c.log.last(), c.log.lastTerm(), len(c.pendingPersists))
	}
	c.leader = ""
	if !c.termDurable() {
		c.setElectionDeadline(c.settings.HeartbeatInterval + c.jitter(c.settings.HeartbeatInterval))
		return
	}
	c.resetElectionDeadline()
	if !c.mayCampaign() {
		c.role = RoleFollower
		return
	}
	if c.disabled.preVote {
		c.campaign(false)
		return
	}
	c.startPreVote()
}

// termDurable reports whether this member's term and vote are durable. Until then it can't vote
// in a later term any sooner, so it neither begins one nor encourages others to.
func (c *Core) termDurable() bool {
	return !c.hardStateChanged && c.hardStatePersist <= c.durablePersist
}

// ballot returns the votes or pre-votes that this member has.
func (c *Core) ballot() map[string]bool {
	if c.role == RolePreCandidate {
		return c.preVotes
	}
	return c.votes
}

// lastSender describes the latest message.
func (c *Core) lastSender() string {
	if c.heardFrom == "" {
		return "nobody heard"
	}
	return fmt.Sprintf("%s heard %s ago", c.heardFrom, (c.now - c.heardAt).Round(time.Millisecond))
}

// mayCampaign reports whether this member is a voter in the latest committed
// configuration or a later one. A member whose removal isn't committed yet may
// campaign: it may be the only one with the latest log, which includes that
// removal.
func (c *Core) mayCampaign() bool {
	if !c.mayFound() {
		return false
	}
	for i := len(c.configs) - 1; i >= 0; i-- {
		if c.configs[i].config.IsVoter(c.settings.Identity) {
			return true
		}
		if c.configs[i].index <= c.commitIndex {
			break
		}
	}
	return false
}

// startPreVote asks whether an election could be won without starting a new
// term, so that a member that was isolated doesn't depose the leader when it
// returns. A candidate remains one meanwhile: votes may take longer than it waits.
func (c *Core) startPreVote() {
	if c.role != RoleCandidate {
		c.role = RolePreCandidate
	}
	c.preVotes = map[string]bool{c.settings.Identity: true}
	// A refused pre-vote changes no state, so it is retried soon.
	c.setElectionDeadline(c.settings.HeartbeatInterval + c.jitter(c.settings.HeartbeatInterval))
	if c.hasMajority(c.preVotes) {
		c.campaign(false)
		return
	}
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
}

// campaign starts an election in a new term. With ignoreLease, voters grant
// their vote although they heard from the leader recently.
func (c *Core) campaign(ignoreLease bool) {
	c.role, c.leader, c.ignoreLease = RoleCandidate, "", ignoreLease
	c.setHardState(HardState{Group: c.group(), Term: c.hardState.Term + 1, Vote: c.settings.Identity})
	c.votes, c.preVotes = map[string]bool{c.settings.Identity: true}, nil
	c.awaitVotes()
	if c.hasMajority(c.votes) {
		c.winElection()
		return
	}
	c.requestVotes(MessageVote, c.hardState.Term)
}

// awaitVotes gives the voters time to answer a candidate's requests, which are sent once its own
// vote is durable.
func (c *Core) awaitVotes() {
	c.setElectionDeadline(c.settings.ElectionTimeout/2 + c.jitter(c.settings.ElectionTimeout/2))
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	for _, m := range c.config().Members {
		if (!m.Voter && !m.Outgoing) || m.Identity == c.settings.Identity {
			continue
		}
		c.send(m, Message{
			Kind:        kind,
			Term:        term,
			Index:       c.log.last(),
			LogTerm:     c.log.lastTerm(),
			IgnoreLease: c.ignoreLease && kind == MessageVote,
		}, afterStep)
	}
}

// hasMajority reports whether a majority of the voters granted a vote or pre-vote.
func (c *Core) hasMajority(votes map[string]bool) bool {
	return c.voterSets().hasMajority(func(identity string) bool { return votes[identity] })
}

// boundByLease reports whether this member must not vote because a leader may
// hold a lease that relies on it. After a start this is unknown, so the member
// waits for one election timeout.
func (c *Core) boundByLease() bool {
	if c.disabled.voteLease {
		return false
	}
	if c.role == RoleLeader {
		return true
	}
	if c.isFounding() {
		return false // it has never followed a leader
	}
	if c.disabled.startWait && c.leader == "" {
		return false
	}
	return c.now-c.leaderContact < c.settings.ElectionTimeout
}

// logUpToDate reports whether the candidate's log is at least as up to date as
// this member's.
func (c *Core) logUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

// handlePreVote replies whether this member would grant a vote. The reply isn't
// binding.
func (c *Core) handlePreVote(m Message) {
	if c.boundByLease() || !c.mayFound() || !c.termDurable() {
		return
	}
	if m.Term <= c.hardState.Term || !c.logUpToDate(m) {
		c.reply(m, Message{Kind: MessagePreVoteReply, Reject: true})
		return
	}
	c.delayCampaign(m)
	c.reply(m, Message{Kind: MessagePreVoteReply, Round: m.Term})
}

// delayCampaign postpones this member's campaign in favour of another one, so
// that concurrent campaigns don't split the vote. Of two pre-candidates, the
// one with the lower identity goes on.
func (c *Core) delayCampaign(m Message) {
	if c.role == RolePreCandidate && c.settings.Identity < m.FromIdentity {
		return
	}
	if c.role == RolePreCandidate {
		c.role = RoleFollower
	}
	c.preVotes = nil
	c.electionDeadline = max(c.electionDeadline, c.now+2*c.settings.HeartbeatInterval)
}

// handleVote replies to a vote request. At most one vote is granted in a term; it
// is durable before the reply is sent.
func (c *Core) handleVote(m Message) {
	if c.boundByLease() && !m.IgnoreLease || !c.mayFound() {
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
	}
	mayGrant := c.hardState.Vote == "" || c.hardState.Vote == m.FromIdentity
	if m.Term < c.hardState.Term || !mayGrant || !c.logUpToDate(m) {
		c.reply(m, Message{Kind: MessageVoteReply, Reject: true})
		return
	}
	c.setHardState(HardState{Group: c.group(), Term: c.hardState.Term, Vote: m.FromIdentity})
	c.role, c.preVotes = RoleFollower, nil
	c.resetElectionDeadline()
	c.reply(m, Message{Kind: MessageVoteReply})
}

// handleVoteReply counts a granted vote or pre-vote.
func (c *Core) handleVoteReply(m Message) {
	if m.Term > c.hardState.Term && m.Reject {
		c.becomeFollower(m.Term, "")
		return
	}
	if m.Reject {
		return
	}
	switch {
	case m.Kind == MessagePreVoteReply && c.preVotes != nil && m.Round == c.hardState.Term+1:
		c.preVotes[m.FromIdentity] = true
		if c.hasMajority(c.preVotes) && !c.awaitsFounders() {
			c.campaign(false)
		}
	case m.Kind == MessageVoteReply && c.role == RoleCandidate && m.Term == c.hardState.Term:
		c.votes[m.FromIdentity] = true
		if c.hasMajority(c.votes) {
			c.winElection()
		}
	}
}

// winElection makes this member the leader and appends a no-op entry, with which
// it can commit the entries of earlier terms. The first entry of a group is its first
// configuration, so that members that join later know it.
func (c *Core) winElection() {
	e := Entry{Index: c.log.last() + 1, Term: c.hardState.Term, Kind: EntryNoop}
	if c.log.last() == 0 {
		config := c.config()
		e.Kind, e.Config = EntryConfig, &config
	}
	c.appendNew(e)
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.preVotes = RoleLeader, c.settings.Identity, nil
	c.electedAt, c.resumedAt, c.nextHeartbeat = c.now, c.now, c.now
	c.termStartIndex = c.log.last()
	c.uncommittedBytes = dataBytes(c.log.slice(c.commitIndex, c.log.last()))
	c.peers = make(map[string]*progress)
	c.pendingReads, c.deferredReads = nil, nil
	c.transfer = transfer{}
	c.founder = ""
	c.updatePeers()
	c.note("became leader in term %d", c.hardState.Term)
}

// becomeFollower makes this member a follower in a term.
func (c *Core) becomeFollower(term uint64, leader string) {
	if c.role == RoleLeader {
		c.endLeadership()
	}
	if term > c.hardState.Term {
		c.setHardState(HardState{Group: c.group(), Term: term})
	}
	if c.role != RoleFollower || c.leader != leader {
		c.resetElectionDeadline()
	}
	c.role, c.leader, c.ignoreLease = RoleFollower, leader, false
	c.preVotes = nil
}

// endLeadership clears the leader's state and rejects its pending reads.
func (c *Core) endLeadership() {
	for _, r := range append(c.pendingReads, c.deferredReads...) {
		c.actions = append(c.actions, Rejected{ID: r.id, Reason: ErrLeadershipLost})
	}
	c.pendingReads, c.deferredReads = nil, nil
	c.peers = make(map[string]*progress)
	c.actions = append(c.actions, Demoted{Term: c.hardState.Term})
	c.note("no longer leader in term %d", c.hardState.Term)
}

// handleTimeoutNow starts an election at once. The leader gave up its lease
// before it asked for this.
func (c *Core) handleTimeoutNow(m Message) {
	if m.Term != c.hardState.Term || m.FromIdentity != c.leader || !c.mayCampaign() {
		return
	}
	c.campaign(true)
}

// hasSuccessor reports whether another voter is up to date.
func (c *Core) hasSuccessor() bool {
	return slices.ContainsFunc(c.config().Members, func(m Member) bool {
		return m.Voter && m.Identity != c.settings.Identity && c.caughtUp(m.Identity)
	})
}

// startTransfer begins a transfer of leadership. If it doesn't complete within
// one election timeout, the leader steps down.
func (c *Core) startTransfer() {
	if c.role != RoleLeader || c.transfer.requested {
		return
	}
	c.transfer = transfer{requested: true, expiresAt: c.now + c.settings.ElectionTimeout}
}

const (
	// stalledWriteTimeouts is the number of election timeouts after which a leader no longer
	// waits for a write that the others make durable soon.
	stalledWriteTimeouts = 2
	// hungWriteTimeouts is the same if the others write slowly too, but sooner than this leader.
	hungWriteTimeouts = 10
)

// handOverStalled begins a transfer of leadership if this leader's disk hangs: the others
// commit entries, but a leader answers only for those that are durable here too.
func (c *Core) handOverStalled() {
	if len(c.pendingPersists) == 0 {
		return
	}
	c.noteOthersWrites()
	if c.transfer.requested || !c.hasSuccessor() {
		return
	}
	waited := c.now - c.pendingPersists[0].at
	soon := waited >= stalledWriteTimeouts*c.settings.ElectionTimeout && c.othersWriteSoon()
	hung := waited >= hungWriteTimeouts*c.settings.ElectionTimeout && c.pendingPersists[0].others > 0
	if soon || hung {
		c.note("a write has taken %s so far, handing over leadership", waited.Round(time.Millisecond))
		c.startTransfer()
	}
}

// noteOthersWrites records when a majority without this leader made entries durable.
func (c *Core) noteOthersWrites() {
	index := majorityValue(c.voterSets(), func(identity string) uint64 {
		if identity == c.settings.Identity {
			return 0
		}
		return c.matchIndex(identity)
	})
	for i := range c.pendingPersists {
		if p := &c.pendingPersists[i]; p.others == 0 && p.lastIndex <= index {
			p.others = c.now
		}
	}
}

// othersWriteSoon reports whether a majority without this leader makes entries durable soon
// enough for an election: it needs their votes, which are writes too.
func (c *Core) othersWriteSoon() bool {
	patience := c.settings.ElectionTimeout / 2
	for _, p := range slices.Backward(c.pendingPersists) {
		if c.now-p.at >= patience {
			return p.others > 0 && p.others-p.at < patience
		}
	}
	return false
}

// continueTransfer asks the first reachable voter with the complete log to take
// over, and steps down when the transfer expires.
func (c *Core) continueTransfer() {
	if !c.transfer.requested {
		return
	}
	if c.now >= c.transfer.expiresAt {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.transfer.target != "" {
		return
	}
	for _, m := range c.config().Members {
		p := c.peers[m.Identity]
		if !m.Voter || p == nil || p.match != c.log.last() || c.now-p.lastReply > c.settings.ElectionTimeout {
			continue
		}
		c.transfer.target, c.transfer.leaseGivenUp = m.Identity, true
		c.send(m, Message{Kind: MessageTimeoutNow, Term: c.hardState.Term}, afterHardState)
		return
	}
}

// Lease returns the current term and the time until which no other member can
// become leader, or 0 if this member holds no lease. A new leader holds none before it
// knows of all entries that earlier ones committed.
func (c *Core) Lease() (term uint64, until time.Duration) {
	if c.role != RoleLeader || c.transfer.leaseGivenUp || c.commitIndex < c.termStartIndex {
		return c.hardState.Term, 0
	}
	sent, ok := c.majorityAckTime()
	if !ok {
		return c.hardState.Term, 0
	}
	return c.hardState.Term, sent + c.leaseDuration()
}

// leaseDuration returns how long a lease lasts after its heartbeats were sent.
// Voters refuse votes for one election timeout after the heartbeats arrive. The
// lease is shorter because this member's clock may run slow and theirs fast.
func (c *Core) leaseDuration() time.Duration {
	if c.disabled.clockMargin {
		return c.settings.ElectionTimeout
	}
	factor := (1 - c.settings.MaxClockDrift) / (1 + c.settings.MaxClockDrift)
	return time.Duration(float64(c.settings.ElectionTimeout) * factor)
}
