// Package node runs a member of the replicated log: it drives the consensus
// state machine with timers, the disk and the links to its peers, and applies
// committed commands to a state machine.
package node

import (
	"context"
	"errors"
	"time"
)

// Failures of proposals and reads.
var (
	// ErrNotLeader tells that the command was not taken up here.
	ErrNotLeader = errors.New("not the leader")
	// ErrLost tells that leadership was lost after the command was taken up:
	// it may yet be applied.
	ErrLost = errors.New("leadership lost, outcome unknown")
	// ErrFull tells that too many commands wait; nothing was taken up.
	ErrFull = errors.New("too many commands wait")
	// ErrTooLarge tells that a command is larger than MaxCommand.
	ErrTooLarge = errors.New("command too large")
	// ErrStopped tells that the member is shutting down.
	ErrStopped = errors.New("stopped")
)

// MaxCommand bounds a command, in bytes.
const MaxCommand = 16 << 20

// Machine is the replicated state machine. All calls come from one goroutine.
type Machine interface {
	// Apply executes a committed command and returns its result, which goes
	// to the proposer if it waits on this member.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Role is the part that a member plays in its group.
type Role string

// Roles of members.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleLearner  Role = "learner"
)

// Status describes a member.
type Status struct {
	Name      string
	Role      Role
	Leader    string // "" while unknown
	Term      uint64
	Committed uint64
	Applied   uint64
	Voters    []string
	Learners  []string
	Heard     time.Duration // since this member last knew that it was current
}

// Log is what the rest of a keepd needs of its member.
type Log interface {
	// Propose replicates a command and returns what Apply returned for it.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier returns once this member, as leader, has applied all that was
	// committed before the call: a read after it is current.
	Barrier(ctx context.Context) error
	// Status describes this member now.
	Status() Status
	// Lease tells the term, and for how long this member is certain that no
	// other leads; 0 or less if it isn't certain. It reads the clock that
	// runs while the machine sleeps. The clean-up of the member hands over at
	// once: whoever acts under the lease must have stopped before.
	Lease() (term uint64, remaining time.Duration)
	// Change makes one membership change at a time: add a learner, promote a
	// caught-up learner, or remove a member.
	Change(ctx context.Context, kind ChangeKind, name string) error
}

// ChangeKind is a kind of membership change.
type ChangeKind string

// Kinds of membership change.
const (
	ChangeLearner ChangeKind = "learner"
	ChangePromote ChangeKind = "promote"
	ChangeRemove  ChangeKind = "remove"
)
