package quorum

// requestRead starts a linearizable read. All that is committed now must be
// applied first, and a majority must confirm, by a lease or by a heartbeat
// round, that no newer leader existed when the read was requested.
func (c *Core) requestRead(id uint64) {
	if c.role != RoleLeader {
		c.actions = append(c.actions, Rejected{ID: id, Reason: ErrNotLeader})
		return
	}
	if c.commitIndex < c.termStartIndex {
		// Entries of older terms may be committed without this leader knowing
		// until an entry of its own term is.
		c.deferredReads = append(c.deferredReads, pendingRead{id: id})
		return
	}
	c.startRead(id)
}

// startRead answers a read at once under a valid lease, else it starts a
// heartbeat round to confirm leadership.
func (c *Core) startRead(id uint64) {
	if _, until := c.Lease(); c.now < until || c.disabled.readRound {
		c.actions = append(c.actions, ReadReady{ID: id, Index: c.commitIndex})
		return
	}
	c.sendHeartbeats()
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, index: c.commitIndex, round: c.round})
	c.answerConfirmedReads()
}

// startDeferredReads starts the reads that waited for the first commit of this
// term.
func (c *Core) startDeferredReads() {
	if c.commitIndex < c.termStartIndex {
		return
	}
	deferred := c.deferredReads
	c.deferredReads = nil
	for _, r := range deferred {
		c.startRead(r.id)
	}
}

// answerConfirmedReads answers the reads whose heartbeat round was confirmed.
func (c *Core) answerConfirmedReads() {
	answered := 0
	for _, r := range c.pendingReads {
		if !c.roundConfirmed(r.round) {
			break
		}
		c.actions = append(c.actions, ReadReady{ID: r.id, Index: r.index})
		answered++
	}
	c.pendingReads = c.pendingReads[answered:]
}

// roundConfirmed reports whether a majority acknowledged a heartbeat round.
func (c *Core) roundConfirmed(round uint64) bool {
	return c.voterSets().hasMajority(func(identity string) bool {
		p := c.peers[identity]
		return identity == c.settings.Identity || (p != nil && p.ackedRound >= round)
	})
}
