package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/quorum"
)

// diskWrite is a write to the data folder: log records, or a snapshot of this
// member's state machine.
type diskWrite struct {
	persist  *quorum.Persist
	snapshot *quorum.Snapshot
}

// writeLoop makes log records and snapshots durable. All queued persists share
// one fsync.
func (n *Node) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.writeQueue:
			if err := n.writeBatch(w); err != nil {
				n.fail(err)
				return
			}
		}
	}
}

func (n *Node) writeBatch(w diskWrite) error {
	var persists []quorum.Persist
	for {
		if w.snapshot != nil {
			if err := n.persistBatch(persists); err != nil {
				return err
			}
			return n.saveSnapshot(*w.snapshot)
		}
		persists = append(persists, *w.persist)
		if len(persists) >= maxBatch {
			return n.persistBatch(persists)
		}
		select {
		case w = <-n.writeQueue:
		default:
			return n.persistBatch(persists)
		}
	}
}

func (n *Node) persistBatch(persists []quorum.Persist) error {
	if len(persists) == 0 {
		return nil
	}
	began := n.clock.Elapsed()
	if err := n.store.Write(persists); err != nil {
		return fmt.Errorf("persist: %w", err)
	}
	if took := n.clock.Elapsed() - began; took > n.settings.ElectionTimeout {
		// Votes and entries wait for the disk, so that an election may fail for it.
		n.meter.Count("disk", "slow")
		klog.Warningf("%s: a write of %d records took %s", n.settings.Name, len(persists), took.Round(time.Millisecond))
	}
	n.persistedNumber.Store(persists[len(persists)-1].Number)
	select {
	case n.persisted <- struct{}{}:
	default:
	}
	n.store.RecordSyncedPosition()
	return nil
}

func (n *Node) saveSnapshot(s quorum.Snapshot) error {
	defer n.savingSnapshot.Store(false)
	err := n.store.SaveSnapshot(s)
	n.snapshotFailed.Store(err != nil)
	if errors.Is(err, disk.ErrNoRoom) {
		klog.Errorf("%s: the disk has no room for a snapshot of %d bytes, the log is kept: %v", n.settings.Name, s.Meta.Size, err)
		n.meter.Count("disk", "full")
		return nil
	}
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	n.savedIndex.Store(s.Meta.Index)
	n.updateBudget()
	// Replace an unread notice: only the newest snapshot counts, and this
	// goroutine must not block on the loop.
	select {
	case <-n.savedSnapshots:
	default:
	}
	n.savedSnapshots <- s.Meta
	return nil
}
