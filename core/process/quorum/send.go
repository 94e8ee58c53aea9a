package quorum

import "slices"

// When a message may leave.
const (
	waitHard uint64 = iota // once the hard state is durable
	waitAll                // once all that this step persists is durable
)

// send queues a message to a member; the envelope is filled in here.
func (c *Core) send(to Member, m Message, after uint64) {
	m.From, m.FromIdentity = c.settings.Name, c.settings.Identity
	m.To, m.ToIdentity = to.Name, to.Identity
	m.Group = c.hard.Group
	c.messages = append(c.messages, outgoing{message: m, after: after})
}

// reply answers the sender of a message once all it promises is durable.
func (c *Core) reply(to, m Message) {
	m.Term = c.hard.Term
	c.send(Member{Name: to.From, Identity: to.FromIdentity}, m, waitAll)
}

// deliver sorts a message by its address and term.
func (c *Core) deliver(m Message) {
	if m.Kind == MessageHello {
		c.greeted(m)
		return
	}
	if m.ToIdentity != c.settings.Identity {
		c.mistaken(m)
		return
	}
	if !wellFormed(m) {
		c.actions = append(c.actions, Rejected{Reason: ErrMalformed})
		return
	}
	if m.Group == "" || !c.join(m) {
		return
	}
	switch m.Kind {
	case MessagePre:
		c.pre(m)
	case MessageVote:
		c.vote(m)
	case MessagePreReply, MessageVoteReply:
		c.voted(m)
	case MessageAppend, MessagePiece:
		c.follow(m)
	case MessageAppendReply, MessagePieceReply:
		c.replied(m)
	case MessageCampaign:
		c.takeOver(m)
	case MessageIntroduce:
		c.introduced(m)
	}
}

// mistaken answers a message for the folder that this instance had before: its
// sender is of the group, and perhaps the only member that this one can learn of.
func (c *Core) mistaken(m Message) {
	if c.settings.Open && c.leader == "" && m.Group != "" && (c.hard.Group == "" || c.hard.Group == m.Group) {
		c.sendHello(m.From)
	}
}

// wellFormed checks what the handlers of a message rely on, so that a faulty
// peer can't make this member break its assertions.
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
	case MessageIntroduce:
		return m.Stranger != nil && m.Stranger.Name != "" && m.Stranger.Identity != ""
	case MessagePiece:
		return m.Meta != nil && m.Meta.Size >= 0 && m.Offset >= 0 && m.Meta.Term <= m.Term
	default:
		return m.Offset >= 0
	}
}

// join makes a new member take up the group of the first message that was
// meant for its identity. Messages of other groups are ignored.
func (c *Core) join(m Message) bool {
	asks := m.Kind == MessageAppend || m.Kind == MessagePiece || m.Kind == MessageVote || m.Kind == MessagePre
	if c.hard.Group == "" && asks {
		c.setHard(HardState{Group: m.Group, Term: c.hard.Term, Vote: c.hard.Vote})
		c.note("joined group %s", m.Group)
	}
	return c.hard.Group == m.Group
}

// sayHello makes a member without a leader known to all instances.
func (c *Core) sayHello() {
	if c.now < c.hello {
		return
	}
	c.hello = c.now + c.settings.Election/2
	for _, name := range c.acquainted() {
		c.sendHello(name)
	}
}

func (c *Core) sendHello(name string) {
	c.send(Member{Name: name}, Message{
		Kind:    MessageHello,
		Term:    c.hard.Term,
		Founder: c.founder,
		Found:   c.mayFound(),
	}, waitHard)
}

// acquainted lists the other instances that this one knows, each once. Where
// any instance may join, the members that were met count as well: those of the
// settings may all be gone.
func (c *Core) acquainted() []string {
	names := slices.Clone(c.settings.Peers)
	if c.settings.Open {
		for _, m := range c.config().Members {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == c.settings.Name })
}

func (c *Core) mayFound() bool {
	return c.settings.Found && c.hard.Group == "" && c.hard.Term == 0
}

// greeted notes a member that has no leader.
func (c *Core) greeted(m Message) {
	if m.Group != "" && m.Group != c.hard.Group {
		return
	}
	if len(c.settings.Voters) > 0 && m.From == slices.Min(c.settings.Voters) && m.Group == "" {
		c.founder = m.FromIdentity
	}
	if _, ok := c.config().Find(m.FromIdentity); ok {
		return
	}
	if !c.settings.Open && !slices.Contains(c.settings.Peers, m.From) {
		return
	}
	c.met(m.FromIdentity, seen{name: m.From, at: c.now, found: m.Found && m.Founder == c.settings.Identity})
	c.introduce(Member{Name: m.From, Identity: m.FromIdentity})
}

// met notes an instance that isn't a member. It has one folder at a time: the
// newest identity counts.
func (c *Core) met(identity string, s seen) {
	for other, known := range c.strange {
		if known.name == s.name {
			delete(c.strange, other)
		}
	}
	c.strange[identity] = s
}

// introduce tells the leader of an instance that wants to join: the instance may
// know only this member.
func (c *Core) introduce(stranger Member) {
	leader, known := c.config().Find(c.leader)
	if !c.settings.Open || c.role == RoleLeader || !known {
		return
	}
	c.send(leader, Message{Kind: MessageIntroduce, Term: c.hard.Term, Stranger: &stranger}, waitHard)
}

// introduced notes an instance that another member met.
func (c *Core) introduced(m Message) {
	if _, known := c.config().Find(m.Stranger.Identity); known || !c.settings.Open || c.role != RoleLeader {
		return
	}
	c.met(m.Stranger.Identity, seen{name: m.Stranger.Name, at: c.now})
}

// found starts a group once all first voters are here, new, and know this
// founder. All must take part: a voter that lost its folder can't tell that
// the group exists, but one that didn't can, and refuses.
func (c *Core) found() {
	if !c.mayFound() || len(c.settings.Voters) == 0 || c.settings.Name != slices.Min(c.settings.Voters) {
		return
	}
	config := Config{Members: []Member{{Name: c.settings.Name, Identity: c.settings.Identity, Voter: true}}}
	for identity, s := range c.strange {
		fresh := s.found && c.now-s.at < c.settings.Election*2
		if slices.Contains(c.settings.Voters, s.name) && (fresh || c.faults.freeFounding) {
			config.Members = append(config.Members, Member{Name: s.name, Identity: identity, Voter: true})
		}
	}
	need := len(c.settings.Voters)
	if c.faults.freeFounding {
		need = need/2 + 1
	}
	if len(config.Members) < need {
		return
	}
	slices.SortFunc(config.Members, byName)
	c.setHard(HardState{Group: c.settings.Identity, Term: 1, Vote: c.settings.Identity})
	c.appendFresh(Entry{Index: 1, Term: 1, Kind: EntryConfig, Config: &config})
	c.note("founded group %s", c.settings.Identity)
	c.lead()
}

func byName(a, b Member) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	default:
		return 0
	}
}
