package quorum

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
)

// foundingIDBytes is the size of a group's identifier and of its founders' identities.
const foundingIDBytes = 8

// Founding is the first start of a group as its founders' first settings describe it. It
// determines the group's identifier, its first configuration and the identities of the
// founders' folders, so that founders need not agree on anything before they elect a leader.
type Founding struct {
	Group    string   `cbor:"1,keyasint"`
	Founders []string `cbor:"2,keyasint"` // names, sorted
}

// NewFounding returns the founding of a group by the given instances.
func NewFounding(names []string) *Founding {
	f := &Founding{Founders: slices.Compact(slices.Sorted(slices.Values(names)))}
	f.Group = foundingID(f.Founders...)
	return f
}

// Identity returns the identity of a founder's folder.
func (f *Founding) Identity(name string) string {
	return foundingID(f.Group, name)
}

// config returns the first configuration, in which all founders vote.
func (f *Founding) config() Config {
	var config Config
	for _, name := range f.Founders {
		config.Members = append(config.Members, Member{Name: name, Identity: f.Identity(name), Voter: true})
	}
	return config
}

func foundingID(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(strconv.Quote(p)))
	}
	return hex.EncodeToString(h.Sum(nil)[:foundingIDBytes])
}

// group returns the identifier of this member's group. A founder knows it from the start.
func (c *Core) group() string {
	if c.hardState.Group == "" && c.settings.Founding != nil {
		return c.settings.Founding.Group
	}
	return c.hardState.Group
}

// isFounding reports whether this member is a founder that hasn't voted, followed a leader
// or joined another group yet.
func (c *Core) isFounding() bool {
	return c.settings.Founding != nil && c.hardState == HardState{}
}

// mayFound reports whether this member may campaign or vote as a founder. One that knows of
// another group waits to be admitted there.
func (c *Core) mayFound() bool {
	return !c.isFounding() || !c.otherGroup
}

// awaitsFounders reports whether a founder that could win an election waits for the answers
// of the others, one of which may belong to another group.
func (c *Core) awaitsFounders() bool {
	return c.isFounding() && len(c.preVotes) < len(c.settings.Founding.Founders) && c.now-c.leaderContact < c.settings.ElectionTimeout
}

// noteOtherGroup records that one of the founders belongs to another group.
func (c *Core) noteOtherGroup(m Message) {
	if c.isFounding() && !c.otherGroup && m.Group != c.group() && slices.Contains(c.settings.Founding.Founders, m.From) {
		c.otherGroup = true
		c.note("%s belongs to group %s: not founding another one", m.From, m.Group)
	}
}

// firstConfig returns the configuration before the first entry of the log.
func (c *Core) firstConfig() Config {
	if f := c.settings.Founding; f != nil && c.group() == f.Group {
		return f.config()
	}
	return Config{}
}

// joinGroup makes this member one of the given group. A founder that joins another group
// takes no part in its own founding from then on.
func (c *Core) joinGroup(group string) {
	c.setHardState(HardState{Group: group, Term: c.hardState.Term, Vote: c.hardState.Vote})
	c.note("joined group %s", group)
	if c.settings.Founding != nil {
		c.role, c.votes, c.preVotes = RoleFollower, nil, nil
		c.configs = []indexedConfig{newIndexedConfig(0, c.firstConfig())}
	}
}
