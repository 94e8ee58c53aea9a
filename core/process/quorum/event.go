package quorum

import "errors"

// Reasons why the core rejects a proposal, read, membership change or message.
var (
	ErrNotLeader        = errors.New("not the leader")
	ErrLeadershipLost   = errors.New("leadership lost")
	ErrFull             = errors.New("too many uncommitted entries or members")
	ErrChangeInProgress = errors.New("another membership change is in progress")
	ErrUnknownMember    = errors.New("unknown member and no recent hello from it")
	ErrNotCaughtUp      = errors.New("the learner has not caught up")
	ErrNoChange         = errors.New("the instance is a member already")
	ErrLastVoter        = errors.New("the last voter can't be removed")
	ErrMalformed        = errors.New("malformed message")
)

// Event is an input of the state machine.
type Event interface{ event() }

// Events.
type (
	// Tick runs the timers that are due.
	Tick struct{}
	// Receive delivers a message of another member.
	Receive struct{ Message Message }
	// Propose asks the leader to replicate commands. Their identifiers are
	// unique on this member.
	Propose struct{ Commands []Command }
	// Persisted reports that all Persist actions up to this number are durable.
	Persisted struct{ Number uint64 }
	// Read asks for the index that must be applied before a linearizable read.
	Read struct{ ID uint64 }
	// Change asks the leader for a membership change.
	Change struct {
		ID   uint64
		Kind ChangeKind
		Name string
	}
	// SnapshotSaved reports that the driver's own snapshot is durable.
	SnapshotSaved struct{ Meta SnapshotMeta }
	// TransferLeadership asks the leader to hand over leadership, for example
	// before it stops. If it goes on running, it should do so IfReady, that is,
	// only if another voter is up to date.
	TransferLeadership struct{ IfReady bool }
	// Seeds replaces the Peers of the settings in a group with open membership.
	Seeds struct{ Names []string }
)

// Command is a proposed command of the replicated state machine.
type Command struct {
	ID   uint64
	Data []byte
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership change.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Persisted) event()          {}
func (Read) event()               {}
func (Change) event()             {}
func (SnapshotSaved) event()      {}
func (TransferLeadership) event() {}
func (Seeds) event()              {}

// Action is an output that the driver must carry out. The actions of a step are
// carried out in order, but a Send needn't wait for an earlier Persist: the core
// holds back the messages that depend on one.
type Action interface{ action() }

// Actions.
type (
	// Persist makes state durable. Entries replace all stored entries from the
	// first one's index on. A snapshot replaces the whole log, which then starts
	// after the snapshot's index.
	Persist struct {
		Number   uint64
		Hard     *HardState
		Entries  []Entry
		Snapshot *Snapshot
	}
	// Send sends a message. For a snapshot chunk the driver fills in the data
	// from Offset on, at most ChunkBytes.
	Send struct{ Message Message }
	// Apply applies committed entries to the replicated state machine.
	Apply struct{ Entries []Entry }
	// InstallSnapshot replaces the replicated state machine's state by a snapshot.
	InstallSnapshot struct{ Snapshot Snapshot }
	// Accepted reports the log position of a proposal or change. It may still be
	// overwritten by another leader.
	Accepted struct{ ID, Index, Term uint64 }
	// Rejected reports that a proposal, read, change or message was rejected.
	Rejected struct {
		ID     uint64
		Reason error
	}
	// ReadReady reports that a read is linearizable once Index is applied.
	ReadReady struct{ ID, Index uint64 }
	// Demoted reports that this member is no longer the leader.
	Demoted struct{ Term uint64 }
	// Note is a log line about a change of state.
	Note struct{ Text string }
)

// Snapshot is a snapshot with its data.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

func (Persist) action()         {}
func (Send) action()            {}
func (Apply) action()           {}
func (InstallSnapshot) action() {}
func (Accepted) action()        {}
func (Rejected) action()        {}
func (ReadReady) action()       {}
func (Demoted) action()         {}
func (Note) action()            {}
