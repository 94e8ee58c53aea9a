package node

import (
	"context"
	"fmt"

	"verbenahaven.example/core/process/quorum"
)

// write is work for the disk: a persist, or a snapshot of the own machine.
type write struct {
	persist  *quorum.Persist
	snapshot *quorum.Snapshot
}

// writeLoop makes state durable. All persists that wait share one sync.
func (n *Node) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.writes:
			if err := n.writeAll(w); err != nil {
				n.fail(err)
				return
			}
		}
	}
}

func (n *Node) writeAll(w write) error {
	var persists []quorum.Persist
	for {
		if w.snapshot != nil {
			if err := n.sync(persists); err != nil {
				return err
			}
			return n.saveSnapshot(*w.snapshot)
		}
		persists = append(persists, *w.persist)
		if len(persists) >= maxBatch {
			return n.sync(persists)
		}
		select {
		case w = <-n.writes:
		default:
			return n.sync(persists)
		}
	}
}

func (n *Node) sync(persists []quorum.Persist) error {
	if len(persists) == 0 {
		return nil
	}
	if err := n.store.Write(persists); err != nil {
		return fmt.Errorf("persist: %w", err)
	}
	n.synced.Store(persists[len(persists)-1].Number)
	select {
	case n.wake <- struct{}{}:
	default:
	}
	n.store.Mark()
	return nil
}

func (n *Node) saveSnapshot(s quorum.Snapshot) error {
	if err := n.store.Save(s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	// The newest counts; this goroutine must not wait for the loop.
	select {
	case <-n.saved:
	default:
	}
	n.saved <- s.Meta
	return nil
}
