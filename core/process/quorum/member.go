package quorum

import (
	"slices"
	"time"
)

// maxCatchUpLag is the number of entries by which a learner may lag and still
// count as caught up.
const maxCatchUpLag = 64

// MaxMembers is the maximum number of instances in a group. An instance that
// came back with a new folder counts once.
const MaxMembers = 7

// hasRoomFor reports whether an instance fits in beside the current members.
func (c Config) hasRoomFor(name string) bool {
	names := map[string]bool{name: true}
	for _, m := range c.Members {
		names[m.Name] = true
	}
	return len(names) <= MaxMembers
}

// proposeChange starts a membership change that an operator asked for.
func (c *Core) proposeChange(e Change) {
	next, err := c.changedConfig(e.Kind, e.Name)
	if err != nil {
		c.actions = append(c.actions, Rejected{ID: e.ID, Reason: err})
		return
	}
	index := c.appendConfig(next)
	c.actions = append(c.actions, Accepted{ID: e.ID, Index: index, Term: c.hardState.Term})
}

// changedConfig returns the configuration after a membership change.
func (c *Core) changedConfig(kind ChangeKind, name string) (Config, error) {
	if c.role != RoleLeader || c.transfer.requested {
		return Config{}, ErrNotLeader
	}
	if !c.mayChange() {
		return Config{}, ErrChangeInProgress
	}
	switch kind {
	case ChangeAddLearner:
		return c.withLearner(name)
	case ChangePromote:
		return c.withPromoted(name)
	default:
		return c.withRemoved(name)
	}
}

// mayChange reports whether a membership change may start: no other is in
// progress, and an entry of this term is committed. Without the latter, a change
// of an earlier leader could overlap.
func (c *Core) mayChange() bool {
	if c.disabled.singleChange {
		return true
	}
	return c.configIndex() <= c.commitIndex && c.commitIndex >= c.termStartIndex && !c.config().IsJoint()
}

func (c *Core) appendConfig(next Config) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.hardState.Term, Kind: EntryConfig, Config: &next}
	c.appendNew(e)
	c.updatePeers()
	return e.Index
}

func (c *Core) withLearner(name string) (Config, error) {
	config := c.config()
	if !config.hasRoomFor(name) {
		return config, ErrFull
	}
	for _, identity := range c.recentJoiners() {
		if c.joiners[identity].name == name {
			return config.with(Member{Name: name, Identity: identity}), nil
		}
	}
	for _, m := range config.Members {
		if m.Name == name {
			return config, ErrNoChange
		}
	}
	return config, ErrUnknownMember
}

func (c *Core) withPromoted(name string) (Config, error) {
	for _, m := range c.config().Members {
		if m.Name != name || m.Voter {
			continue
		}
		if !c.caughtUp(m.Identity) {
			return Config{}, ErrNotCaughtUp
		}
		m.Voter = true
		return c.config().with(m), nil
	}
	return Config{}, ErrUnknownMember
}

// withRemoved returns the configuration without the member of the given name. If
// a lost folder of that instance is still listed, the member that has been silent
// longest is left out.
func (c *Core) withRemoved(name string) (Config, error) {
	var found Member
	oldestContact := c.now + 1
	for _, m := range c.config().Members {
		if m.Name == name && c.lastHeard(m.Identity) < oldestContact {
			found, oldestContact = m, c.lastHeard(m.Identity)
		}
	}
	if found.Name == "" {
		return Config{}, ErrUnknownMember
	}
	next := c.config().without(found.Identity)
	if next.VoterCount() == 0 {
		return Config{}, ErrLastVoter
	}
	return next, nil
}

// recentJoiners returns the identities outside the configuration that sent a
// hello recently, sorted.
func (c *Core) recentJoiners() []string {
	var all []string
	for identity, j := range c.joiners {
		if _, ok := c.config().Find(identity); !ok && c.now-j.helloAt < helloExpiryTimeouts*c.settings.ElectionTimeout {
			all = append(all, identity)
		}
	}
	slices.Sort(all)
	return all
}

// helloExpiryTimeouts is the number of election timeouts for which a hello
// counts as recent.
const helloExpiryTimeouts = 4

// lastHeard returns when a member last replied to this leader.
func (c *Core) lastHeard(identity string) time.Duration {
	if identity == c.settings.Identity {
		return c.now
	}
	if p := c.peers[identity]; p != nil {
		return p.lastReply
	}
	return 0
}

// caughtUp reports whether a member replies and has nearly all of the log.
func (c *Core) caughtUp(identity string) bool {
	if c.disabled.catchUp || identity == c.settings.Identity {
		return true
	}
	p := c.peers[identity]
	return p != nil && c.now-p.lastReply < c.settings.ElectionTimeout && p.match+maxCatchUpLag >= c.log.last() && p.match >= c.termStartIndex
}

// repairMembership starts the next single change that brings the group back to
// its full number of reachable voters.
func (c *Core) repairMembership() {
	if c.transfer.requested {
		return
	}
	if c.config().IsJoint() {
		c.finishReplacement()
		return
	}
	if c.settings.ReplaceAfter <= 0 || !c.mayChange() {
		return
	}
	next, description, ok := c.nextRepair()
	if !ok {
		return
	}
	c.note("membership repair: %s", description)
	c.appendConfig(next)
}

// finishReplacement leaves a joint configuration once it is committed.
func (c *Core) finishReplacement() {
	if c.configIndex() <= c.commitIndex && c.commitIndex >= c.termStartIndex {
		c.appendConfig(c.config().afterJoint())
	}
}

// nextRepair returns the configuration after the most urgent repair and its
// description, and false if there is nothing to repair.
func (c *Core) nextRepair() (Config, string, bool) {
	config := c.config()
	if next, description, ok := c.replaceLostVoter(config); ok {
		return next, description, true
	}
	if next, description, ok := c.promoteLearner(config); ok {
		return next, description, true
	}
	if next, description, ok := c.removeLostLearner(config); ok {
		return next, description, true
	}
	return c.addLearner(config)
}

// promoteLearner returns the configuration in which a caught-up learner becomes a
// voter, while there are fewer voters than wanted.
func (c *Core) promoteLearner(config Config) (Config, string, bool) {
	if config.VoterCount() >= c.settings.TargetVoters {
		return config, "", false
	}
	for _, m := range config.Members {
		if !m.Voter && !c.isLost(m) && c.caughtUp(m.Identity) {
			m.Voter = true
			return config.with(m), "promote " + m.Name, true
		}
	}
	return config, "", false
}

// replaceLostVoter returns the joint configuration in which a caught-up learner
// replaces a lost voter.
func (c *Core) replaceLostVoter(config Config) (Config, string, bool) {
	for _, lost := range config.Members {
		if !lost.Voter || !c.isLost(lost) {
			continue
		}
		for _, m := range config.Members {
			if !m.Voter && !c.isLost(m) && c.caughtUp(m.Identity) {
				return config.withReplacement(lost.Identity, m.Identity), "replace " + lost.Name + " by " + m.Name, true
			}
		}
	}
	return config, "", false
}

// removeLostLearner returns the configuration without a lost learner whose
// instance came back with a new folder. With open membership any lost learner is
// removed: its place may be needed, and it can join again when it comes back.
func (c *Core) removeLostLearner(config Config) (Config, string, bool) {
	for _, m := range config.Members {
		if !m.Voter && c.isLost(m) && (c.settings.OpenMembership || c.folderReplaced(m)) {
			return config.without(m.Identity), "remove lost learner " + m.Name, true
		}
	}
	return config, "", false
}

// addLearner returns the configuration with an instance that sent a hello
// recently as a learner. Without open membership it must be among the voters or
// spares of the settings.
func (c *Core) addLearner(config Config) (Config, string, bool) {
	for _, identity := range c.recentJoiners() {
		j := c.joiners[identity]
		allowed := c.settings.OpenMembership || slices.Contains(c.settings.InitialVoters, j.name) || slices.Contains(c.settings.Spares, j.name)
		if allowed && config.hasRoomFor(j.name) {
			return config.with(Member{Name: j.name, Identity: identity}), "add " + j.name + " as learner", true
		}
	}
	return config, "", false
}

// isLost reports whether a member counts as lost: its instance runs with another
// folder, or it has been silent for the replacement time.
func (c *Core) isLost(m Member) bool {
	return c.folderReplaced(m) || c.now-c.lastHeard(m.Identity) >= c.settings.ReplaceAfter
}

// folderReplaced reports whether a member's instance runs with another folder.
func (c *Core) folderReplaced(m Member) bool {
	return c.answersWithAnotherFolder(m) || c.saysHelloWithAnotherFolder(m)
}

// answersWithAnotherFolder reports whether another folder of a member's instance answered
// this leader later than the member did. An instance has one folder at a time and no folder
// comes back, so this needs no time to pass and each leader learns it from one answer.
func (c *Core) answersWithAnotherFolder(m Member) bool {
	answered := c.lastAnswered(m.Identity)
	for _, other := range c.config().Members {
		if other.Name == m.Name && other.Identity != m.Identity && c.hasAnswered(other.Identity) && c.lastAnswered(other.Identity) > answered {
			return true
		}
	}
	return false
}

// saysHelloWithAnotherFolder reports whether a member is silent and its instance sent a hello
// with another folder meanwhile. A hello may be late, so the silence must last.
func (c *Core) saysHelloWithAnotherFolder(m Member) bool {
	heard := c.lastHeard(m.Identity)
	if c.now-heard < c.settings.ElectionTimeout {
		return false
	}
	for _, identity := range c.recentJoiners() {
		if j := c.joiners[identity]; j.name == m.Name && j.helloAt > heard {
			return true
		}
	}
	return false
}

// hasAnswered reports whether a member has answered this leader.
func (c *Core) hasAnswered(identity string) bool {
	p := c.peers[identity]
	return identity == c.settings.Identity || (p != nil && p.hasReplied)
}

// lastAnswered returns when this leader sent the latest message that a member answered. For
// one that hasn't answered it is when this leader first addressed it.
func (c *Core) lastAnswered(identity string) time.Duration {
	if p := c.peers[identity]; p != nil && p.hasReplied {
		return p.ackedSentAt
	}
	return c.lastHeard(identity)
}
