package quorum

import (
	"slices"
	"time"
)

// catchUpLag is the number of entries that a learner may lag and still count
// as caught up.
const catchUpLag = 64

// MaxMembers bounds the instances of a group. A lost folder of an instance
// that comes back with a new one doesn't count.
const MaxMembers = 7

// room tells whether an instance may join.
func (c Config) room(name string) bool {
	names := map[string]bool{name: true}
	for _, m := range c.Members {
		names[m.Name] = true
	}
	return len(names) <= MaxMembers
}

// change starts a membership change for an operator.
func (c *Core) change(e Change) {
	next, err := c.changed(e.Kind, e.Name)
	if err != nil {
		c.actions = append(c.actions, Rejected{ID: e.ID, Reason: err})
		return
	}
	index := c.appendConfig(next)
	c.actions = append(c.actions, Accepted{ID: e.ID, Index: index, Term: c.hard.Term})
}

// changed returns the configuration after a change.
func (c *Core) changed(kind ChangeKind, name string) (Config, error) {
	if c.role != RoleLeader || c.transfer.asked {
		return Config{}, ErrNotLeader
	}
	if !c.mayChange() {
		return Config{}, ErrBusy
	}
	switch kind {
	case ChangeLearner:
		return c.withLearner(name)
	case ChangePromote:
		return c.withPromoted(name)
	default:
		return c.withRemoved(name)
	}
}

// mayChange tells whether no change is open, and whether this term has a
// committed entry, without which an older leader's change could overlap.
func (c *Core) mayChange() bool {
	if c.faults.openChange {
		return true
	}
	return c.configIndex() <= c.commit && c.commit >= c.first && !c.config().Joint()
}

func (c *Core) appendConfig(next Config) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryConfig, Config: &next}
	c.appendFresh(e)
	c.trackPeers()
	return e.Index
}

func (c *Core) withLearner(name string) (Config, error) {
	config := c.config()
	if !config.room(name) {
		return config, ErrFull
	}
	for _, identity := range c.strangers() {
		if c.strange[identity].name == name {
			return config.with(Member{Name: name, Identity: identity}), nil
		}
	}
	for _, m := range config.Members {
		if m.Name == name {
			return config, ErrNoChange
		}
	}
	return config, ErrUnknown
}

func (c *Core) withPromoted(name string) (Config, error) {
	for _, m := range c.config().Members {
		if m.Name != name || m.Voter {
			continue
		}
		if !c.caughtUp(m.Identity) {
			return Config{}, ErrBehind
		}
		m.Voter = true
		return c.config().with(m), nil
	}
	return Config{}, ErrUnknown
}

// withRemoved removes the member of a name, the one that is silent longest if
// a lost folder is still listed.
func (c *Core) withRemoved(name string) (Config, error) {
	var found Member
	oldest := c.now + 1
	for _, m := range c.config().Members {
		if m.Name == name && c.lastHeard(m.Identity) < oldest {
			found, oldest = m, c.lastHeard(m.Identity)
		}
	}
	if found.Name == "" {
		return Config{}, ErrUnknown
	}
	next := c.config().without(found.Identity)
	if next.Voters() == 0 {
		return Config{}, ErrLast
	}
	return next, nil
}

// strangers returns the identities that made themselves known lately, in a
// fixed order.
func (c *Core) strangers() []string {
	var all []string
	for identity, s := range c.strange {
		if _, ok := c.config().Find(identity); !ok && c.now-s.at < helloLife*c.settings.Election {
			all = append(all, identity)
		}
	}
	slices.Sort(all)
	return all
}

// helloLife is the number of election timeouts for which a hello counts.
const helloLife = 4

func (c *Core) lastHeard(identity string) time.Duration {
	if identity == c.settings.Identity {
		return c.now
	}
	if p := c.peers[identity]; p != nil {
		return p.heard
	}
	return 0
}

// caughtUp tells whether a member answers and has nearly all of the log.
func (c *Core) caughtUp(identity string) bool {
	if c.faults.noCatchUp || identity == c.settings.Identity {
		return true
	}
	p := c.peers[identity]
	return p != nil && c.now-p.heard < c.settings.Election && p.match+catchUpLag >= c.log.last() && p.match >= c.first
}

// repair makes the one next change that brings the group back to strength.
func (c *Core) repair() {
	if c.transfer.asked {
		return
	}
	if c.config().Joint() {
		c.finishReplacement()
		return
	}
	if c.settings.Replace <= 0 || !c.mayChange() {
		return
	}
	next, what, ok := c.nextRepair()
	if !ok {
		return
	}
	c.note("repair: %s", what)
	c.appendConfig(next)
}

// finishReplacement leaves a joint configuration that is committed.
func (c *Core) finishReplacement() {
	if c.configIndex() <= c.commit && c.commit >= c.first {
		c.appendConfig(c.config().final())
	}
}

func (c *Core) nextRepair() (Config, string, bool) {
	config := c.config()
	if next, what, ok := c.startReplacement(config); ok {
		return next, what, true
	}
	if next, what, ok := c.grow(config); ok {
		return next, what, true
	}
	if next, what, ok := c.dropLearner(config); ok {
		return next, what, true
	}
	return c.admit(config)
}

// grow makes a caught-up learner a voter while there are fewer than wanted.
func (c *Core) grow(config Config) (Config, string, bool) {
	if config.Voters() >= c.settings.Wanted {
		return config, "", false
	}
	for _, m := range config.Members {
		if !m.Voter && !c.lost(m) && c.caughtUp(m.Identity) {
			m.Voter = true
			return config.with(m), "promote " + m.Name, true
		}
	}
	return config, "", false
}

// startReplacement puts a caught-up learner in the place of a lost voter.
func (c *Core) startReplacement(config Config) (Config, string, bool) {
	for _, lost := range config.Members {
		if !lost.Voter || !c.lost(lost) {
			continue
		}
		for _, m := range config.Members {
			if !m.Voter && !c.lost(m) && c.caughtUp(m.Identity) {
				return config.replace(lost.Identity, m.Identity), "replace " + lost.Name + " by " + m.Name, true
			}
		}
	}
	return config, "", false
}

// dropLearner removes a lost learner whose instance came back as a new member.
// Where any instance may join, one that is silent is removed as well: its
// place may be needed, and it is admitted again when it comes back.
func (c *Core) dropLearner(config Config) (Config, string, bool) {
	for _, m := range config.Members {
		if !m.Voter && c.lost(m) && (c.settings.Open || c.renewed(m)) {
			return config.without(m.Identity), "remove the lost folder of " + m.Name, true
		}
	}
	return config, "", false
}

// admit adds an instance of the settings that made itself known.
func (c *Core) admit(config Config) (Config, string, bool) {
	for _, identity := range c.strangers() {
		s := c.strange[identity]
		known := c.settings.Open || slices.Contains(c.settings.Voters, s.name) || slices.Contains(c.settings.Spares, s.name)
		if known && config.room(s.name) {
			return config.with(Member{Name: s.name, Identity: identity}), "add " + s.name + " as learner", true
		}
	}
	return config, "", false
}

// lost tells whether a member counts as lost: silent for long, or silent while
// its instance came back with another folder.
func (c *Core) lost(m Member) bool {
	silence := c.now - c.lastHeard(m.Identity)
	if silence >= c.settings.Replace {
		return true
	}
	return silence >= helloLife*c.settings.Election && c.renewed(m)
}

// renewed tells whether an instance runs with another folder than a member's.
func (c *Core) renewed(m Member) bool {
	for _, identity := range c.strangers() {
		if c.strange[identity].name == m.Name {
			return true
		}
	}
	for _, other := range c.config().Members {
		answers := c.now-c.lastHeard(other.Identity) < c.settings.Election
		if other.Name == m.Name && other.Identity != m.Identity && answers {
			return true
		}
	}
	return false
}
