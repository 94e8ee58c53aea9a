package quorum

import "time"

// Role returns the part that this member plays.
func (c *Core) Role() Role { return c.role }

// Term returns the newest term seen.
func (c *Core) Term() uint64 { return c.hard.Term }

// Group returns the identifier of the group, "" before the member joined one.
func (c *Core) Group() string { return c.hard.Group }

// Commit returns the index up to which the log is known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Applied returns the index up to which entries were handed out.
func (c *Core) Applied() uint64 { return c.applied }

// Last returns the last index of the log.
func (c *Core) Last() uint64 { return c.log.last() }

// Config returns the newest configuration, committed or not.
func (c *Core) Config() Config { return c.config() }

// Committed returns the newest configuration that is committed.
func (c *Core) Committed() Config {
	for i := len(c.configs) - 1; i > 0; i-- {
		if c.configs[i].index <= c.commit {
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

// Heard returns when this member last knew that it was current: for a leader,
// when it sent what a majority answered; else when it heard from the leader.
func (c *Core) Heard() time.Duration {
	if c.role != RoleLeader {
		return c.heard
	}
	sent, ok := c.quorumSent()
	if !ok {
		return c.elected
	}
	return sent
}
