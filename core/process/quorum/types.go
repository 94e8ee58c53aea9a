// Package quorum is a consensus state machine in the manner of Raft. It is
// pure: events and the time go in, actions come out. A driver gives it ticks,
// messages and acknowledgements of the disk and carries out its actions in
// order.
//
// The rules that go beyond the published algorithm:
//
//   - Members are known by the random identity of their data folder, not only
//     by name. A message reaches only the identity it is meant for, so a
//     member that lost its folder can't speak for the one it was.
//   - A group is founded once, by all first voters together; its identifier is
//     in every message. A member of one group ignores those of any other.
//   - No message leaves before the state that it promises is durable.
//   - A voter refuses votes for one election timeout after it heard from a
//     leader, and after it started. The leader's lease rests on this.
package quorum

import (
	"slices"
	"time"
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entry.
const (
	EntryEmpty   EntryKind = iota // start of a term
	EntryCommand                  // for the replicated state machine
	EntryConfig                   // a membership change, effective once appended
)

// Entry is one position of the replicated log.
type Entry struct {
	Index  uint64    `cbor:"1,keyasint"`
	Term   uint64    `cbor:"2,keyasint"`
	Kind   EntryKind `cbor:"3,keyasint,omitempty"`
	Data   []byte    `cbor:"4,keyasint,omitempty"`
	Config *Config   `cbor:"5,keyasint,omitempty"`
}

// Member is one data folder that takes part in a group.
type Member struct {
	Name     string `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Voter    bool   `cbor:"3,keyasint,omitempty"`
	Outgoing bool   `cbor:"4,keyasint,omitempty"` // voter of the configuration that a joint one leaves
}

// Config is the membership of a group. While a voter is replaced it is joint:
// a majority of the new voters and a majority of the outgoing ones are both
// needed. The voters that stay form both, so that neither the lost voter nor
// the one that takes its place has to take part.
type Config struct {
	Members []Member `cbor:"1,keyasint"`
}

// Find returns the member with an identity.
func (c Config) Find(identity string) (Member, bool) {
	for _, m := range c.Members {
		if m.Identity == identity {
			return m, true
		}
	}
	return Member{}, false
}

// Voter tells whether an identity may vote.
func (c Config) Voter(identity string) bool {
	m, ok := c.Find(identity)
	return ok && (m.Voter || m.Outgoing)
}

// Joint tells whether a voter is being replaced.
func (c Config) Joint() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Outgoing })
}

// Voters counts the voters, outgoing ones left out.
func (c Config) Voters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// replace returns the joint configuration in which a learner takes the place
// of a voter.
func (c Config) replace(lost, learner string) Config {
	next := Config{Members: slices.Clone(c.Members)}
	for i := range next.Members {
		m := &next.Members[i]
		m.Outgoing = m.Voter
		switch m.Identity {
		case lost:
			m.Voter = false
		case learner:
			m.Voter = true
		}
	}
	return next
}

// final returns what a joint configuration leads to.
func (c Config) final() Config {
	next := Config{Members: slices.Clone(c.Members)}
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Outgoing && !m.Voter })
	for i := range next.Members {
		next.Members[i].Outgoing = false
	}
	return next
}

// with returns a copy in which m replaces or joins the members.
func (c Config) with(m Member) Config {
	next := c.without(m.Identity)
	next.Members = append(next.Members, m)
	return next
}

// without returns a copy that lacks an identity.
func (c Config) without(identity string) Config {
	members := slices.Clone(c.Members)
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Identity == identity })
	return Config{Members: members}
}

// HardState is what a member must not forget.
type HardState struct {
	Group string `cbor:"1,keyasint"`           // identifier of the group, "" before the member joined one
	Term  uint64 `cbor:"2,keyasint"`           // newest term seen
	Vote  string `cbor:"3,keyasint,omitempty"` // identity voted for in Term
}

// Meta describes a snapshot: the state after Index.
type Meta struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
	Size   int64  `cbor:"4,keyasint"` // bytes of its data
}

// Stored is what a member finds in its folder when it starts.
type Stored struct {
	Hard     HardState
	Snapshot Meta
	Entries  []Entry // consecutive; the first follows the snapshot or overlaps it
}

// MessageKind is a kind of message.
type MessageKind uint8

// Kinds of message.
const (
	MessageHello MessageKind = iota + 1 // a member without a leader makes itself known
	MessagePre                          // would you vote for me?
	MessagePreReply
	MessageVote
	MessageVoteReply
	MessageAppend // entries, or none as heartbeat
	MessageAppendReply
	MessagePiece // part of a snapshot
	MessagePieceReply
	MessageCampaign  // the leader asks a follower to take over
	MessageIntroduce // a follower tells the leader of an instance that wants to join
)

// Message is what members send to each other. Which fields are used depends
// on the kind.
type Message struct {
	Kind         MessageKind   `cbor:"1,keyasint"`
	From         string        `cbor:"2,keyasint"`
	To           string        `cbor:"3,keyasint"`
	FromIdentity string        `cbor:"4,keyasint"`
	ToIdentity   string        `cbor:"5,keyasint,omitempty"`
	Group        string        `cbor:"6,keyasint,omitempty"`
	Term         uint64        `cbor:"7,keyasint,omitempty"`
	Index        uint64        `cbor:"8,keyasint,omitempty"`  // append: before the entries; vote: last; reply: match
	LogTerm      uint64        `cbor:"9,keyasint,omitempty"`  // term at Index
	Commit       uint64        `cbor:"10,keyasint,omitempty"` // commit index of the leader
	Entries      []Entry       `cbor:"11,keyasint,omitempty"`
	Reject       bool          `cbor:"12,keyasint,omitempty"`
	Tried        uint64        `cbor:"13,keyasint,omitempty"` // Index of the append that a reply refuses
	Sent         time.Duration `cbor:"14,keyasint,omitempty"` // clock of the leader, echoed by replies
	Round        uint64        `cbor:"15,keyasint,omitempty"` // round of confirmation, echoed by replies
	Force        bool          `cbor:"16,keyasint,omitempty"` // the old leader gave up its lease for this vote
	Meta         *Meta         `cbor:"17,keyasint,omitempty"`
	Offset       int64         `cbor:"18,keyasint,omitempty"`
	Data         []byte        `cbor:"19,keyasint,omitempty"`
	Founder      string        `cbor:"20,keyasint,omitempty"` // hello: identity of the founder last heard
	Found        bool          `cbor:"21,keyasint,omitempty"` // hello: the sender is new and may take part in founding
	Stranger     *Member       `cbor:"22,keyasint,omitempty"` // introduce: who wants to join
}

// Role is the part a member plays in its term.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota
	RolePre           // asks whether it could win an election
	RoleCandidate
	RoleLeader
)

// Settings of a member.
type Settings struct {
	Name      string
	Identity  string        // of the data folder
	Found     bool          // this folder may take part in founding a group
	Voters    []string      // names of the first voters
	Spares    []string      // names of learners that replace lost voters
	Peers     []string      // names of all instances that may be members
	Open      bool          // instances outside of Peers may join as well
	Wanted    int           // voters to grow to, 0 for as many as founded the group
	Heartbeat time.Duration // between heartbeats
	Election  time.Duration // silence after which a follower may campaign
	Drift     float64       // bound of the clocks' rate error: 0.01 is 1%
	Replace   time.Duration // silence after which a voter is replaced, 0 for never
	Keep      uint64        // entries kept behind a snapshot for members that lag
	Batch     int           // bytes of entries in a message
	Window    int           // messages with entries on their way to a member
	Pending   int           // entries not yet committed
	Waiting   int           // bytes of entries not yet committed
	Piece     int           // bytes of a snapshot in a message
}

// Defaults for the settings that no file sets.
const (
	DefaultDrift   = 0.02
	DefaultKeep    = 1000
	DefaultBatch   = 1 << 20
	DefaultWindow  = 64
	DefaultPending = 16384
	DefaultWaiting = 64 << 20
	DefaultPiece   = 256 << 10
)
