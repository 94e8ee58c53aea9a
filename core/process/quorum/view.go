package quorum

import "time"

// Role returns the role of this member.
func (c *Core) Role() Role { return c.role }

// Term returns the latest term seen.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Group returns the group's identifier, "" before the member joined one.
func (c *Core) Group() string { return c.hardState.Group }

// CommitIndex returns the last index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commitIndex }

// TermStartIndex returns the index of the first entry of the term that this member leads.
// All entries that earlier leaders committed are before it.
func (c *Core) TermStartIndex() uint64 { return c.termStartIndex }

// AppliedIndex returns the last index emitted to be applied.
func (c *Core) AppliedIndex() uint64 { return c.appliedIndex }

// LastIndex returns the last index of the log.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// Config returns the latest configuration, committed or not.
func (c *Core) Config() Config { return c.config() }

// CommittedConfig returns the latest committed configuration.
func (c *Core) CommittedConfig() Config {
	for i := len(c.configs) - 1; i > 0; i-- {
		if c.configs[i].index <= c.commitIndex {
			return c.configs[i].config
		}
	}
	return c.configs[0].config
}

// Leader returns the name of the leader, "" while unknown.
func (c *Core) Leader() string {
	if c.role == RoleLeader {
		return c.settings.Name
	}
	if m, ok := c.config().Find(c.leader); ok {
		return m.Name
	}
	return ""
}

// CommonLevel returns the highest level of commands that all members of the latest
// configuration understand, as far as a leader has heard from them in its term, else 0.
func (c *Core) CommonLevel() uint64 {
	if c.role != RoleLeader {
		return 0
	}
	level := c.settings.Level
	for _, m := range c.config().Members {
		if m.Identity == c.settings.Identity {
			continue
		}
		p := c.peers[m.Identity]
		if p == nil {
			return 0
		}
		level = min(level, p.level)
	}
	return level
}

// LastContact returns when this member last knew that its view was current. For
// a leader, this is the send time of the latest messages that a majority replied
// to, or its election; else it is when it last heard from a leader.
func (c *Core) LastContact() time.Duration {
	if c.role != RoleLeader {
		return c.leaderContact
	}
	sent, ok := c.majorityAckTime()
	if !ok {
		return c.electedAt
	}
	return sent
}
