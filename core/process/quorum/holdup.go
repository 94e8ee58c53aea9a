package quorum

import "time"

// holdUpHeartbeats is the number of heartbeat intervals by which a member that was held up
// puts off its campaign: enough to handle what arrived meanwhile and to hear from a leader
// that was held up with it.
const holdUpHeartbeats = 2

// allowForHoldUp gives a member whose tick is late time to hear from the others, whose
// messages may wait until it has handled the tick. Steady hold-ups only slow an election
// down: each deadline is put off once.
func (c *Core) allowForHoldUp() {
	heldUp := c.now - c.lastTick - c.settings.HeartbeatInterval
	c.lastTick = c.now
	if heldUp <= 0 {
		return
	}
	if c.role == RoleLeader {
		c.resumeLeader(heldUp)
		return
	}
	if deadline := c.now + holdUpHeartbeats*c.settings.HeartbeatInterval; !c.deadlineExtended && deadline > c.electionDeadline {
		c.electionDeadline, c.deadlineExtended = deadline, true
	}
}

// resumeLeader lets a leader that was held up keep its role without the answer of a majority, at
// most once. A hold-up of an election timeout and more isn't silence of the others, and none is
// time that its disk took for a write.
func (c *Core) resumeLeader(heldUp time.Duration) {
	for i := range c.pendingPersists {
		p := &c.pendingPersists[i]
		p.at = min(p.at+heldUp, c.now)
		if p.others > 0 {
			p.others = max(p.others, p.at)
		}
	}
	if sent, ok := c.majorityAckTime(); c.resumedAt == c.electedAt || (ok && sent >= c.resumedAt) {
		c.resumedAt = c.now
	}
	if heldUp < c.settings.ElectionTimeout {
		return
	}
	for _, p := range c.peers {
		p.lastReply = min(p.lastReply+heldUp, c.now)
	}
}
