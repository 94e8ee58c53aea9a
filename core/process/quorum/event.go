package quorum

import "errors"

// Reasons for which the core refuses a proposal, read or change.
var (
	ErrNotLeader = errors.New("not the leader")
	ErrLost      = errors.New("leadership lost")
	ErrFull      = errors.New("too many entries wait for commit")
	ErrBusy      = errors.New("another membership change is open")
	ErrUnknown   = errors.New("no such member was heard from")
	ErrBehind    = errors.New("the learner has not caught up")
	ErrNoChange  = errors.New("nothing to change")
	ErrLast      = errors.New("the last voter can't be removed")
	ErrMalformed = errors.New("malformed message")
)

// Event is what happened to a member.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Receive delivers a message.
	Receive struct{ Message Message }
	// Propose asks the leader to replicate commands; each has an identifier
	// unique on this member.
	Propose struct{ Commands []Command }
	// Persisted tells that all up to the action Persist with this number is
	// durable.
	Persisted struct{ Number uint64 }
	// Read asks for an index that makes a read current.
	Read struct{ ID uint64 }
	// Change asks for a membership change.
	Change struct {
		ID   uint64
		Kind ChangeKind
		Name string
	}
	// Saved tells that the driver made a durable snapshot of its own state.
	Saved struct{ Meta Meta }
	// Transfer asks the leader to hand over before it stops.
	Transfer struct{}
)

// Command is one proposal.
type Command struct {
	ID   uint64
	Data []byte
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership change.
const (
	ChangeLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

func (Tick) event()      {}
func (Receive) event()   {}
func (Propose) event()   {}
func (Persisted) event() {}
func (Read) event()      {}
func (Change) event()    {}
func (Saved) event()     {}
func (Transfer) event()  {}

// Action is what the driver must do. Actions of one step are carried out in
// their order, but sending needn't wait for persisting: the core holds back
// what must wait.
type Action interface{ action() }

// Actions.
type (
	// Persist makes state durable. Entries replace all from the index of the
	// first on. With a snapshot, the log is emptied and starts after it.
	Persist struct {
		Number   uint64
		Hard     *HardState
		Entries  []Entry
		Snapshot *Snapshot
	}
	// Send sends a message. For a piece of a snapshot the driver fills in
	// the data from Offset on, at most Piece bytes.
	Send struct{ Message Message }
	// Apply hands committed entries to the state machine.
	Apply struct{ Entries []Entry }
	// Install replaces the state machine by a snapshot.
	Install struct{ Snapshot Snapshot }
	// Accepted tells at which position a proposal or change stands.
	Accepted struct{ ID, Index, Term uint64 }
	// Rejected tells that a proposal, read or change was not taken up.
	Rejected struct {
		ID     uint64
		Reason error
	}
	// Ready tells that a read is current once Index is applied.
	Ready struct{ ID, Index uint64 }
	// Demoted tells that this member leads no longer.
	Demoted struct{ Term uint64 }
	// Note reports a change of state worth a line in the log.
	Note struct{ Text string }
)

// Snapshot is a snapshot with its data.
type Snapshot struct {
	Meta Meta
	Data []byte
}

func (Persist) action()  {}
func (Send) action()     {}
func (Apply) action()    {}
func (Install) action()  {}
func (Accepted) action() {}
func (Rejected) action() {}
func (Ready) action()    {}
func (Demoted) action()  {}
func (Note) action()     {}
