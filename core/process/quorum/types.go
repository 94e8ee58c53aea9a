// Package quorum implements the Raft consensus algorithm (leader election, log
// replication, membership changes, snapshots and leader leases) as a
// deterministic state machine without I/O: events and the current time go in,
// actions come out. The driver delivers ticks, messages and notices of
// completed disk writes, and carries out the actions in order.
//
// Rules beyond the published algorithm:
//
//   - A member is identified by the random identity of its data folder, not
//     only by its name. Messages other than hellos are handled by the addressed
//     identity only, so an instance that lost its folder can't act as its former
//     member.
//   - A group is bootstrapped once, by all initial voters together, or founded by a
//     majority of its founders if their settings promise that it is the group's first
//     start. Every message carries the group's identifier; messages of other groups are
//     ignored.
//   - No message is sent before the state that it depends on is durable.
//   - A voter refuses votes for one election timeout after it last heard from a
//     leader, and after its own start. The leader's lease depends on this.
package quorum

import (
	"slices"
	"time"
)

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entry.
const (
	EntryNoop    EntryKind = iota // appended by a new leader at the start of its term
	EntryCommand                  // command for the replicated state machine
	EntryConfig                   // membership change, in effect once appended, before it commits
)

// Entry is one position of the replicated log.
type Entry struct {
	Index  uint64    `cbor:"1,keyasint"`
	Term   uint64    `cbor:"2,keyasint"`
	Kind   EntryKind `cbor:"3,keyasint,omitempty"`
	Data   []byte    `cbor:"4,keyasint,omitempty"`
	Config *Config   `cbor:"5,keyasint,omitempty"`
}

// Member is a member of a group: one data folder of an instance.
type Member struct {
	Name     string `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"`
	Voter    bool   `cbor:"3,keyasint,omitempty"`
	Outgoing bool   `cbor:"4,keyasint,omitempty"` // votes in the old half of a joint configuration
}

// Config is the membership of a group. While a voter is being replaced, it is
// a joint configuration: decisions need a majority of the new voters and a
// majority of the outgoing ones. The voters in both sets can form both
// majorities, so neither the lost voter nor its replacement has to respond.
type Config struct {
	Members []Member `cbor:"1,keyasint"`
}

// Find returns the member with the given identity.
func (c Config) Find(identity string) (Member, bool) {
	for _, m := range c.Members {
		if m.Identity == identity {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the identity may vote.
func (c Config) IsVoter(identity string) bool {
	m, ok := c.Find(identity)
	return ok && (m.Voter || m.Outgoing)
}

// IsJoint reports whether the configuration is joint.
func (c Config) IsJoint() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Outgoing })
}

// VoterCount returns the number of voters without the outgoing ones.
func (c Config) VoterCount() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// withReplacement returns the joint configuration in which a learner replaces
// a lost voter.
func (c Config) withReplacement(lost, learner string) Config {
	joint := Config{Members: slices.Clone(c.Members)}
	for i := range joint.Members {
		m := &joint.Members[i]
		m.Outgoing = m.Voter
		switch m.Identity {
		case lost:
			m.Voter = false
		case learner:
			m.Voter = true
		}
	}
	return joint
}

// afterJoint returns the configuration that follows a joint one.
func (c Config) afterJoint() Config {
	next := Config{Members: slices.Clone(c.Members)}
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Outgoing && !m.Voter })
	for i := range next.Members {
		next.Members[i].Outgoing = false
	}
	return next
}

// with returns a copy with m added, or replacing the member of its identity.
func (c Config) with(m Member) Config {
	next := c.without(m.Identity)
	next.Members = append(next.Members, m)
	return next
}

// without returns a copy without the member of the given identity.
func (c Config) without(identity string) Config {
	members := slices.Clone(c.Members)
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Identity == identity })
	return Config{Members: members}
}

// HardState is the state besides the log that must be durable before a member
// sends messages that depend on it.
type HardState struct {
	Group string `cbor:"1,keyasint"`           // group identifier, "" before the member joined one
	Term  uint64 `cbor:"2,keyasint"`           // latest term seen
	Vote  string `cbor:"3,keyasint,omitempty"` // identity that got this member's vote in Term
}

// SnapshotMeta describes a snapshot of the state after the entry at Index.
type SnapshotMeta struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
	Size   int64  `cbor:"4,keyasint"` // bytes of the snapshot's data
}

// DurableState is the durable state that a member loads from its data folder at
// start.
type DurableState struct {
	Hard     HardState
	Snapshot SnapshotMeta
	Entries  []Entry // contiguous; the first follows the snapshot or is covered by it
}

// MessageKind is the kind of a message.
type MessageKind uint8

// Kinds of message.
const (
	MessageHello   MessageKind = iota + 1 // discovery: sent by a member that knows no leader
	MessagePreVote                        // asks whether the receiver would grant a vote
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend // log entries; empty as a heartbeat
	MessageAppendReply
	MessageChunk // part of a snapshot's data
	MessageChunkReply
	MessageTimeoutNow   // the leader asks a follower to start an election at once
	MessageForwardHello // a follower passes a non-member's hello on to the leader
	MessageMembers      // a member names the others to the sender of a hello
)

// Message is a message between members. Which fields are used depends on its
// kind.
type Message struct {
	Kind         MessageKind   `cbor:"1,keyasint"`
	From         string        `cbor:"2,keyasint"`
	To           string        `cbor:"3,keyasint"`
	FromIdentity string        `cbor:"4,keyasint"`
	ToIdentity   string        `cbor:"5,keyasint,omitempty"`
	Group        string        `cbor:"6,keyasint,omitempty"`
	Term         uint64        `cbor:"7,keyasint,omitempty"`
	Index        uint64        `cbor:"8,keyasint,omitempty"`  // append: index before the entries; vote: last index; append reply: match or hint
	LogTerm      uint64        `cbor:"9,keyasint,omitempty"`  // term at Index
	Commit       uint64        `cbor:"10,keyasint,omitempty"` // leader's commit index
	Entries      []Entry       `cbor:"11,keyasint,omitempty"`
	Reject       bool          `cbor:"12,keyasint,omitempty"`
	RequestIndex uint64        `cbor:"13,keyasint,omitempty"` // reply: index of the rejected append, or of the chunk's snapshot
	SentAt       time.Duration `cbor:"14,keyasint,omitempty"` // leader's clock when it sent the request; echoed by replies
	Round        uint64        `cbor:"15,keyasint,omitempty"` // heartbeat round, echoed by replies; pre-vote reply: term asked for
	IgnoreLease  bool          `cbor:"16,keyasint,omitempty"` // vote: the leader gave up its lease to transfer leadership
	Meta         *SnapshotMeta `cbor:"17,keyasint,omitempty"`
	Offset       int64         `cbor:"18,keyasint,omitempty"`
	Data         []byte        `cbor:"19,keyasint,omitempty"`
	Founder      string        `cbor:"20,keyasint,omitempty"` // hello: identity of the bootstrapping instance last heard from
	MayBootstrap bool          `cbor:"21,keyasint,omitempty"` // hello: the sender is new and may take part in bootstrapping
	Joiner       *Member       `cbor:"22,keyasint,omitempty"` // forwarded hello: the instance that wants to join
	Names        []string      `cbor:"24,keyasint,omitempty"` // members: names of the members
	Level        uint64        `cbor:"23,keyasint,omitempty"` // replies: highest level of commands that the sender understands; 0 for builds without levels
}

// Role is the role of a member in its term.
type Role uint8

// Roles.
const (
	RoleFollower     Role = iota
	RolePreCandidate      // asks for pre-votes
	RoleCandidate
	RoleLeader
)

// String returns the name of the role as it stands in logs.
func (r Role) String() string {
	switch r {
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "follower"
}

// Settings configures a member.
type Settings struct {
	Name                  string
	Identity              string        // identity of the data folder
	Founding              *Founding     // the founding that this folder takes part in, nil for none
	MayBootstrap          bool          // this folder may take part in bootstrapping a group
	InitialVoters         []string      // names of the initial voters
	Spares                []string      // names of the learners that may replace lost voters
	Peers                 []string      // names of the instances that may be members
	OpenMembership        bool          // instances that aren't in Peers may join too
	TargetVoters          int           // promote learners while there are fewer voters; 0 promotes none
	HeartbeatInterval     time.Duration // interval between heartbeats
	ElectionTimeout       time.Duration // time without contact with the leader after which a follower may campaign
	MaxClockDrift         float64       // bound on the rate error of clocks: 0.01 is 1%
	ReplaceAfter          time.Duration // time without contact after which a voter is replaced, 0 for never
	TrailingEntries       uint64        // entries kept in the log before a snapshot for lagging members
	TrailingBytes         int           // maximum bytes of these entries, 0 for no limit
	MaxBatchBytes         int           // maximum bytes of entries in a message
	MaxInflightMessages   int           // maximum unacknowledged messages with entries to a member
	MaxUncommittedEntries int           // maximum uncommitted entries
	MaxUncommittedBytes   int           // maximum bytes of uncommitted entries
	ChunkBytes            int           // maximum bytes of snapshot data in a message
	Level                 uint64        // highest level of commands that this build understands
}

// Defaults of the settings that the settings file doesn't have.
const (
	DefaultMaxClockDrift         = 0.02
	DefaultTrailingEntries       = 1000
	DefaultMaxBatchBytes         = 1 << 20
	DefaultMaxInflightMessages   = 64
	DefaultMaxUncommittedEntries = 16384
	DefaultMaxUncommittedBytes   = 64 << 20
	DefaultChunkBytes            = 256 << 10
)
