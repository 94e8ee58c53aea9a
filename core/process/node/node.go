// Package node runs one member of a Raft group: it drives the consensus core
// with timers, the write-ahead log and the links to its peers, and applies
// committed commands to the replicated state machine.
package node

import (
	"context"
	"errors"
	"time"
)

// Errors of proposals and linearizable reads.
var (
	// ErrNotLeader reports that this member doesn't lead or is handing leadership
	// over: the command was not appended here.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown reports that leadership was lost, or the caller stopped
	// waiting, after the command was accepted: it may still be applied.
	ErrOutcomeUnknown = errors.New("leadership lost, outcome unknown")
	// ErrQueueFull reports that the queue of events is full or that too many
	// entries are uncommitted; the command was not accepted.
	ErrQueueFull = errors.New("too many commands wait")
	// ErrTooLarge reports that a command is larger than MaxCommandBytes, or than the
	// members' disk and memory allow.
	ErrTooLarge = errors.New("command too large")
	// ErrNoRoom reports that the members' disk or memory has no room for the
	// command; it was not accepted.
	ErrNoRoom = errors.New("no room for the command")
	// ErrStopped reports that the member is shutting down.
	ErrStopped = errors.New("stopped")
)

// MaxCommandBytes is the largest size of a command in bytes.
const MaxCommandBytes = 16 << 20

// StateMachine is the replicated state machine. All its methods are called from
// one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result, which is
	// passed to the proposer if that waits on this member.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Role is the role of a member in its group.
type Role string

// Member roles.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleLearner  Role = "learner"
)

// Status is the state of a member as it sees itself.
type Status struct {
	Name         string
	Role         Role
	Leader       string // "" if unknown
	Term         uint64
	Committed    uint64
	Applied      uint64
	Voters       []string
	Learners     []string
	SinceContact time.Duration // time since this member last knew that it was up to date
	CommonLevel  uint64        // highest level of commands that all members understand, 0 unless this one leads
}

// Log is the replicated log as the rest of keepd uses it.
type Log interface {
	// Propose replicates a command and returns the result of applying it.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier returns once this member, as leader, has applied every command
	// committed before the call: a read after it is linearizable.
	Barrier(ctx context.Context) error
	// Status returns the current state of this member.
	Status() Status
	// Lease returns the term and how long the leader lease lasts, that is, how
	// long no other member can lead; 0 or less without a lease. Its clock also
	// runs while the machine is suspended. The member's cleanup transfers
	// leadership at once: whatever acts under the lease must stop before the
	// cleanup is called.
	Lease() (term uint64, remaining time.Duration)
	// HandOver asks another voter to take over leadership. Nothing happens if none
	// is up to date, or this member doesn't lead. The lease ends at once.
	HandOver()
	// ChangeMembership makes a single membership change: it adds a learner,
	// promotes a caught-up learner or removes a member. Only one change runs at
	// a time.
	ChangeMembership(ctx context.Context, kind ChangeKind, name string) error
}

// ChangeKind is the kind of a membership change.
type ChangeKind string

// Membership changes.
const (
	ChangeAddLearner ChangeKind = "learner"
	ChangePromote    ChangeKind = "promote"
	ChangeRemove     ChangeKind = "remove"
)
