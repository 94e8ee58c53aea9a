package node

import (
	"cmp"
	"errors"
	"fmt"

	"verbenahaven.example/core/process/boot"

	"verbenahaven.example/core/process/quorum"
)

// Shares of a member's disk and memory. The disk holds two snapshots of the
// largest state, the newest and its successor while that is written, and the log:
// entries up to a snapshot, those that are appended until it is durable, and the
// rest of a segment.
const (
	statesPerDisk   = 5
	statesPerMemory = 8
	logsPerDisk     = 12
	logsPerMemory   = 32
)

// maxLogBytes bounds the log between snapshots on large machines, because a
// restart replays it.
const maxLogBytes = 64 << 20

// minLogBytes is the log between snapshots on the smallest disk.
const minLogBytes = 64 << 10

// budget bounds what a member stores, in bytes.
type budget struct {
	log   int64 // entries between snapshots; at most twice as much is kept, on the disk and in memory
	state int64 // snapshot
}

// newBudget returns the budget for a share of the disk and of the memory, 0 for
// unknown ones.
func newBudget(diskBytes, memoryBytes int64) budget {
	b := budget{log: maxLogBytes, state: maxStateBytes}
	if diskBytes > 0 {
		b.log, b.state = min(b.log, diskBytes/logsPerDisk), min(b.state, diskBytes/statesPerDisk)
	}
	if memoryBytes > 0 {
		b.log, b.state = min(b.log, memoryBytes/logsPerMemory), min(b.state, memoryBytes/statesPerMemory)
	}
	b.log = max(b.log, minLogBytes)
	return b
}

// maxStateBytes is the largest snapshot of any member.
const maxStateBytes = 64 << 30

// command returns the size of the largest command. A state of one command must
// have room for another one that replaces it.
func (b budget) command() int64 { return min(MaxCommandBytes, b.state/2) }

// maxLog is the size of the log on the disk from which on commands are refused.
func (b budget) maxLog() int64 { return 2*b.log + b.command() }

// uncommitted returns the bytes of commands that may wait for a majority. After a
// restart that is the whole log.
func (b budget) uncommitted() int64 {
	return min(max(2*b.maxLog(), quorum.DefaultMaxUncommittedBytes/4), quorum.DefaultMaxUncommittedBytes)
}

// snapshotAfter returns the bytes of entries after which a snapshot is due. Close
// to the limit of the state its size must be known more exactly.
func (b budget) snapshotAfter(state int64) int64 {
	return min(b.log, max((b.state-state)/2, b.log/snapshotSteps))
}

// snapshotSteps is the largest factor by which snapshots of a state that is close
// to its limit are more frequent.
const snapshotSteps = 16

// A state that is full still takes commands of a small size, so that instances
// and engines can come and go.
const (
	smallCommands = 1024 // per state
	smallReserve  = 8    // part of the state that only small commands may fill
)

// fits reports whether a state with a further command is within the budget.
func (b budget) fits(state, command int64) bool {
	limit := b.state - b.state/smallReserve
	if command <= b.state/smallCommands {
		limit = b.state
	}
	return state+command <= limit
}

// updateBudget adapts the budget to what the disk has free now.
func (n *Node) updateBudget() {
	capacity := n.store.Capacity()
	b := newBudget(capacity, cmp.Or(n.settings.MemoryBytes, boot.MachineMemory()))
	n.budget.Store(&b)
	n.meter.Set(capacity, "disk", "capacity_bytes")
	n.meter.Set(n.store.Used(), "disk", "used_bytes")
}

// admit returns an error if a command could make the state or the log larger than
// its budget. The returned function is called once the command's outcome is known.
func (n *Node) admit(command int64) (func(), error) {
	if n.state.Load().role != quorum.RoleLeader {
		return func() {}, nil
	}
	n.pendingBytes.Add(command)
	done := func() { n.pendingBytes.Add(-command) }
	if err := n.checkRoom(command); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

func (n *Node) checkRoom(command int64) error {
	if n.findRoom(command) == nil {
		return nil
	}
	// Other files may have left since the budget was computed.
	n.updateBudget()
	err := n.findRoom(command)
	switch {
	case errors.Is(err, ErrTooLarge):
		n.meter.Count("raft", "refused", "too_large")
	case errors.Is(err, ErrNoRoom):
		n.meter.Count("raft", "refused", "no_room")
		select {
		case n.applyQueue <- snapshotRequest{}: // then the size of the state is known
		default:
		}
	}
	return err
}

func (n *Node) findRoom(command int64) error {
	b, pending := n.budget.Load(), n.pendingBytes.Load() // includes this command
	state, log := n.stateBytes.Load()+n.bytesSinceSnapshot.Load()+pending-command, n.store.LogBytes()+pending
	switch {
	case command > b.command():
		return fmt.Errorf("command of %d bytes, limit %d: %w", command, b.command(), ErrTooLarge)
	case !b.fits(state, command):
		return fmt.Errorf("command of %d bytes, state of %d, limit %d: %w", command, state, b.state, ErrNoRoom)
	case log > b.maxLog():
		return fmt.Errorf("command of %d bytes, log of %d, limit %d: %w", command, log, b.maxLog(), ErrNoRoom)
	}
	return nil
}

// Limits of the messages that a member sends to another one before it replies.
const (
	batchesPerLog = 8
	minBatchBytes = 64 << 10
	minInflight   = 4
)

// batch returns the bytes of entries in a message.
func (b budget) batch() int {
	return min(quorum.DefaultMaxBatchBytes, max(int(b.log/batchesPerLog), minBatchBytes))
}

// inflight returns the number of messages with entries that may be unacknowledged.
func (b budget) inflight() int {
	return min(quorum.DefaultMaxInflightMessages, max(int(b.log)/b.batch(), minInflight))
}
