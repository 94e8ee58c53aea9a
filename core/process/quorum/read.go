package quorum

// read makes a read current: what is committed now must be applied first, and
// a majority must confirm that no newer leader existed when it was asked.
func (c *Core) read(id uint64) {
	if c.role != RoleLeader {
		c.actions = append(c.actions, Rejected{ID: id, Reason: ErrNotLeader})
		return
	}
	if c.commit < c.first {
		// Older terms may have committed what is not known to be so here.
		c.waiting = append(c.waiting, read{id: id})
		return
	}
	c.startRead(id)
}

func (c *Core) startRead(id uint64) {
	if _, until := c.Lease(); c.now < until || c.faults.noReadRound {
		c.actions = append(c.actions, Ready{ID: id, Index: c.commit})
		return
	}
	c.heartbeat()
	c.reads = append(c.reads, read{id: id, index: c.commit, round: c.round})
	c.answerReads()
}

// startReads starts the reads that waited for the first commit of the term.
func (c *Core) startReads() {
	if c.commit < c.first {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, r := range waiting {
		c.startRead(r.id)
	}
}

// answerReads answers the reads whose round a majority confirmed.
func (c *Core) answerReads() {
	done := 0
	for _, r := range c.reads {
		if !c.confirmed(r.round) {
			break
		}
		c.actions = append(c.actions, Ready{ID: r.id, Index: r.index})
		done++
	}
	c.reads = c.reads[done:]
}

func (c *Core) confirmed(round uint64) bool {
	return c.sets().majority(func(identity string) bool {
		p := c.peers[identity]
		return identity == c.settings.Identity || (p != nil && p.round >= round)
	})
}
