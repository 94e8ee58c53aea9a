package quorum

import "slices"

// When a queued message may be sent.
const (
	afterHardState uint64 = iota // once the hard state is durable
	afterStep                    // once all that this step persists is durable
)

// send queues a message to a member and fills in the addresses and the group.
func (c *Core) send(to Member, m Message, after uint64) {
	m.From, m.FromIdentity = c.settings.Name, c.settings.Identity
	m.To, m.ToIdentity = to.Name, to.Identity
	m.Group = c.group()
	if m.Kind == MessageHello {
		m.Group = c.hardState.Group // a founder that isn't bound to its group may join another one
	}
	c.newMessages = append(c.newMessages, queuedMessage{message: m, afterPersist: after})
}

// reply queues a reply to the sender of a message. It is sent once the state
// of this step is durable.
func (c *Core) reply(to, m Message) { c.replyWith(to, m, afterStep) }

// replyWith queues a reply that is sent once a state is durable.
func (c *Core) replyWith(to, m Message, after uint64) {
	m.Term, m.Level = c.hardState.Term, c.settings.Level
	c.send(Member{Name: to.From, Identity: to.FromIdentity}, m, after)
}

// handleMessage checks a message's address, form and group and dispatches it by
// kind.
func (c *Core) handleMessage(m Message) {
	c.heardFrom, c.heardAt = m.From, c.now
	if m.Kind == MessageHello {
		c.handleHello(m)
		return
	}
	if m.ToIdentity != c.settings.Identity {
		c.handleMisaddressed(m)
		return
	}
	if !wellFormed(m) {
		c.actions = append(c.actions, Rejected{Reason: ErrMalformed})
		return
	}
	if m.Kind == MessageMembers {
		c.handleMembers(m)
		return
	}
	if m.Group == "" || !c.acceptGroup(m) {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessageVote:
		c.handleVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend, MessageChunk:
		c.handleLeaderMessage(m)
	case MessageAppendReply, MessageChunkReply:
		c.handleReplicationReply(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	case MessageForwardHello:
		c.handleForwardedHello(m)
	}
}

// handleMisaddressed replies to a message for this instance's former data folder
// with a hello. The sender belongs to the group, and may be the only member that
// this instance can learn of.
func (c *Core) handleMisaddressed(m Message) {
	if !c.settings.OpenMembership || m.Group == "" {
		return
	}
	mayJoin := c.leader == "" && (c.hardState.Group == "" || c.hardState.Group == m.Group)
	// A founder of another group must hear of this one before it campaigns.
	warn := m.Kind == MessagePreVote && c.hardState.Group != "" && c.hardState.Group != m.Group
	if mayJoin || warn {
		c.sendHello(m.From)
	}
}

// wellFormed reports whether a message has what its handler relies on, so that a
// malformed message can't make this member panic.
func wellFormed(m Message) bool {
	switch m.Kind {
	case MessageAppend:
		index, term := m.Index, m.LogTerm
		for _, e := range m.Entries {
			index++
			if e.Index != index || e.Term < term || e.Term > m.Term || (e.Kind == EntryConfig) != (e.Config != nil) {
				return false
			}
			term = e.Term
		}
		return true
	case MessageForwardHello:
		return m.Joiner != nil && m.Joiner.Name != "" && m.Joiner.Identity != ""
	case MessageChunk:
		return m.Meta != nil && m.Meta.Size >= 0 && m.Offset >= 0 && m.Meta.Term <= m.Term
	default:
		return m.Offset >= 0
	}
}

// acceptGroup reports whether a message belongs to this member's group. A member
// without a group joins that of the first leader's message or vote request that
// is addressed to its identity, a founder only that of a leader.
func (c *Core) acceptGroup(m Message) bool {
	fromLeader := m.Kind == MessageAppend || m.Kind == MessageChunk
	mayInvite := fromLeader || (c.settings.Founding == nil && (m.Kind == MessageVote || m.Kind == MessagePreVote))
	if c.hardState.Group == "" && mayInvite && c.group() != m.Group {
		c.joinGroup(m.Group)
	}
	return c.group() == m.Group
}

// sendHellos announces this member, which has no leader, to all known instances.
func (c *Core) sendHellos() {
	if c.now < c.nextHello {
		return
	}
	c.nextHello = c.now + c.settings.ElectionTimeout/2
	for _, name := range c.knownInstances() {
		c.sendHello(name)
	}
}

// setSeeds replaces the instances that this member says hello to, at once if it has no leader.
func (c *Core) setSeeds(names []string) {
	if c.settings.OpenMembership {
		c.settings.Peers, c.nextHello = slices.Clone(names), c.now
	}
}

func (c *Core) sendHello(name string) {
	c.send(Member{Name: name}, Message{
		Kind:         MessageHello,
		Term:         c.hardState.Term,
		Founder:      c.founder,
		MayBootstrap: c.mayBootstrap(),
	}, afterHardState)
}

// knownInstances returns the names of the other known instances, sorted and
// without duplicates. With open membership it includes the members of the
// configuration and those that members named, since the instances in the settings may all be
// gone.
func (c *Core) knownInstances() []string {
	names := slices.Clone(c.settings.Peers)
	if c.settings.OpenMembership {
		for _, m := range c.config().Members {
			names = append(names, m.Name)
		}
		names = append(names, c.introduced...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == c.settings.Name })
}

// mayBootstrap reports whether this member is new and its folder may take part
// in bootstrapping a group.
func (c *Core) mayBootstrap() bool {
	return c.settings.MayBootstrap && c.hardState.Group == "" && c.hardState.Term == 0
}

// handleHello records the sender of a hello and forwards the hello to the leader
// if the sender isn't a member.
func (c *Core) handleHello(m Message) {
	if m.Group != "" && m.Group != c.hardState.Group {
		c.noteOtherGroup(m)
		return
	}
	if len(c.settings.InitialVoters) > 0 && m.From == slices.Min(c.settings.InitialVoters) && m.Group == "" {
		c.founder = m.FromIdentity
	}
	if _, ok := c.config().Find(m.FromIdentity); ok {
		return
	}
	if !c.settings.OpenMembership && !slices.Contains(c.settings.Peers, m.From) {
		return
	}
	c.recordJoiner(m.FromIdentity, joiner{name: m.From, helloAt: c.now, mayBootstrap: m.MayBootstrap && m.Founder == c.settings.Identity})
	c.forwardHello(Member{Name: m.From, Identity: m.FromIdentity})
	c.nameMembers(m)
}

// nameMembers tells the sender of a hello who the members are. The leader may be out of this
// member's reach but not out of the sender's, and this member may be lost before it can
// introduce the sender.
func (c *Core) nameMembers(hello Message) {
	if !c.settings.OpenMembership || c.hardState.Group == "" {
		return
	}
	var names []string
	for _, m := range c.config().Members {
		if !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	c.send(Member{Name: hello.From, Identity: hello.FromIdentity}, Message{Kind: MessageMembers, Names: names}, afterHardState)
}

// maxIntroduced is the maximum number of names that an instance without a leader keeps of those
// that members named.
const maxIntroduced = 2 * MaxMembers

// handleMembers records the members' names, so that the next hellos go to them too.
func (c *Core) handleMembers(m Message) {
	if !c.settings.OpenMembership || c.leader != "" || (c.hardState.Group != "" && c.hardState.Group != m.Group) {
		return
	}
	names := slices.Clone(m.Names[:min(len(m.Names), MaxMembers)])
	for _, name := range c.introduced {
		if !slices.Contains(names, name) && len(names) < maxIntroduced {
			names = append(names, name)
		}
	}
	c.introduced = names
}

// recordJoiner records an instance that isn't a member. An instance has one
// folder at a time, so a new identity replaces the earlier one of that name.
func (c *Core) recordJoiner(identity string, j joiner) {
	for other, known := range c.joiners {
		if known.name == j.name {
			delete(c.joiners, other)
		}
	}
	c.joiners[identity] = j
}

// forwardHello tells the leader about an instance that wants to join, because
// the instance may know only this member.
func (c *Core) forwardHello(joining Member) {
	leader, known := c.config().Find(c.leader)
	if !c.settings.OpenMembership || c.role == RoleLeader || !known {
		return
	}
	c.send(leader, Message{Kind: MessageForwardHello, Term: c.hardState.Term, Joiner: &joining}, afterHardState)
}

// handleForwardedHello records an instance whose hello another member forwarded.
func (c *Core) handleForwardedHello(m Message) {
	if _, known := c.config().Find(m.Joiner.Identity); known || !c.settings.OpenMembership || c.role != RoleLeader {
		return
	}
	c.recordJoiner(m.Joiner.Identity, joiner{name: m.Joiner.Name, helloAt: c.now})
}

// tryBootstrap creates a group once all initial voters are reachable, new, and
// name this member as the founder. All of them must take part: a voter that lost
// its folder doesn't know that the group exists already, but a voter that kept
// its folder does, and refuses.
func (c *Core) tryBootstrap() {
	if !c.mayBootstrap() || len(c.settings.InitialVoters) == 0 || c.settings.Name != slices.Min(c.settings.InitialVoters) {
		return
	}
	config := Config{Members: []Member{{Name: c.settings.Name, Identity: c.settings.Identity, Voter: true}}}
	for identity, j := range c.joiners {
		recent := j.mayBootstrap && c.now-j.helloAt < c.settings.ElectionTimeout*2
		if slices.Contains(c.settings.InitialVoters, j.name) && (recent || c.disabled.fullBootstrap) {
			config.Members = append(config.Members, Member{Name: j.name, Identity: identity, Voter: true})
		}
	}
	required := len(c.settings.InitialVoters)
	if c.disabled.fullBootstrap {
		required = required/2 + 1
	}
	if len(config.Members) < required {
		return
	}
	slices.SortFunc(config.Members, compareByName)
	c.setHardState(HardState{Group: c.settings.Identity, Term: 1, Vote: c.settings.Identity})
	c.appendNew(Entry{Index: 1, Term: 1, Kind: EntryConfig, Config: &config})
	c.note("bootstrapped group %s", c.settings.Identity)
	c.becomeLeader()
}

func compareByName(a, b Member) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	default:
		return 0
	}
}
