package node

import (
	"context"
	"fmt"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/process/quorum"
)

// machineSnapshot is the encoded state machine after the entry at index.
type machineSnapshot struct {
	index uint64
	data  []byte
}

// applier owns the state machine: only its goroutine calls it.
type applier struct {
	node                  *Node
	applied               uint64
	pending               map[uint64]quorum.Accepted // proposals made on this member, by log index
	pendingReads          []quorum.ReadReady
	commandsSinceSnapshot uint64
}

// snapshotRequest asks for a snapshot before one is due, because a command was refused.
type snapshotRequest struct{}

// applyLoop applies committed commands and resolves the proposals and reads that
// wait for them.
func (n *Node) applyLoop(ctx context.Context) {
	a := &applier{node: n, applied: n.applied.Load(), pending: make(map[uint64]quorum.Accepted)}
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-n.applyQueue:
			a.handle(v)
		}
	}
}

func (a *applier) handle(v any) {
	switch v := v.(type) {
	case quorum.Apply:
		for i := range v.Entries {
			a.apply(&v.Entries[i])
		}
		a.completeReads()
		a.snapshotIfDue()
	case quorum.InstallSnapshot:
		a.install(v.Snapshot)
	case quorum.Accepted:
		a.pending[v.Index] = v
	case quorum.ReadReady:
		a.pendingReads = append(a.pendingReads, v)
		a.completeReads()
	case quorum.Demoted:
		a.failPending()
	case snapshotRequest:
		if a.node.snapshotFailed.Load() || a.node.store.LogBytes() >= 2*a.node.budget.Load().log {
			a.snapshot() // at its limit the log gets no further entries, after which one would be due
		}
		a.snapshotIfUseful()
	}
}

func (a *applier) apply(e *quorum.Entry) {
	if e.Index != a.applied+1 {
		panic(fmt.Sprintf("node: entry %d applied after %d", e.Index, a.applied))
	}
	var result any
	if e.Kind == quorum.EntryCommand {
		result = a.node.machine.Apply(e.Index, e.Data)
		a.commandsSinceSnapshot++
	}
	a.node.bytesSinceSnapshot.Add(int64(len(e.Data)) + entryOverheadBytes)
	a.applied = e.Index
	a.node.applied.Store(e.Index)
	p, ok := a.pending[e.Index]
	if !ok {
		return
	}
	delete(a.pending, e.Index)
	if p.Term != e.Term {
		a.node.resolve(p.ID, outcome{err: ErrOutcomeUnknown})
		return
	}
	a.node.resolve(p.ID, outcome{result: result})
}

func (a *applier) install(s quorum.Snapshot) {
	if err := a.node.machine.Restore(s.Data); err != nil {
		a.node.fail(fmt.Errorf("restore snapshot %d: %w", s.Meta.Index, err))
		return
	}
	a.applied = s.Meta.Index
	a.startCounting(len(s.Data))
	a.node.savedIndex.Store(a.applied)
	a.node.applied.Store(a.applied)
	a.failPending()
}

// failPending resolves all pending proposals with an unknown outcome.
func (a *applier) failPending() {
	for index, p := range a.pending {
		a.node.resolve(p.ID, outcome{err: ErrOutcomeUnknown})
		delete(a.pending, index)
	}
}

func (a *applier) completeReads() {
	waiting := a.pendingReads[:0]
	for _, r := range a.pendingReads {
		if r.Index > a.applied {
			waiting = append(waiting, r)
			continue
		}
		a.node.resolve(r.ID, outcome{})
	}
	a.pendingReads = waiting
}

// entryOverheadBytes estimates the size of an entry on the disk without its data.
const entryOverheadBytes = 64

// startCounting starts to count what is applied after a snapshot.
func (a *applier) startCounting(stateBytes int) {
	a.commandsSinceSnapshot = 0
	a.node.stateBytes.Store(int64(stateBytes))
	a.node.bytesSinceSnapshot.Store(0)
}

// snapshotIfDue takes a snapshot once enough commands or bytes were applied, or the
// log on the disk is large for another reason.
func (a *applier) snapshotIfDue() {
	b := a.node.budget.Load()
	if a.commandsSinceSnapshot >= a.node.settings.CommandsPerSnapshot ||
		a.node.bytesSinceSnapshot.Load() >= b.snapshotAfter(a.node.stateBytes.Load()) {
		a.snapshot()
		return
	}
	a.snapshotIfUseful()
}

// snapshotIfUseful takes a snapshot if the log on the disk could become much smaller,
// or the size of the state is much less certain than it could be.
func (a *applier) snapshotIfUseful() {
	n := a.node
	b, since := n.budget.Load(), n.bytesSinceSnapshot.Load()
	if n.store.LogBytes() >= 2*b.log || !b.fits(n.stateBytes.Load()+since, b.state/smallCommands) {
		if since >= b.log/snapshotSteps {
			a.snapshot()
		}
	}
}

// snapshot takes a snapshot. It does nothing until the previous one is on the disk.
func (a *applier) snapshot() {
	if a.applied <= a.node.savedIndex.Load() || a.node.savingSnapshot.Load() {
		return
	}
	data, err := a.node.machine.Snapshot()
	if err != nil {
		klog.Errorf("%s: state machine snapshot at index %d failed: %v", a.node.settings.Name, a.applied, err)
		a.node.meter.Count("raft", "failed", "snapshot")
		return
	}
	a.startCounting(len(data))
	a.node.savingSnapshot.Store(true)
	a.node.machineSnapshots <- machineSnapshot{index: a.applied, data: data}
}
