package node_test

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"verbenahaven.example/core/process/node"
)

// A member that had started on a full disk refused large commands long after there was room again.
func TestLargeCommandsAreTakenOnceDiskHasRoomAgain(t *testing.T) {
	g := newSmallGroup(t, 1, 0)
	g.start(g.names...)
	g.proposeLarge(20)
	full := g.names[0]
	g.lose(full)
	g.disks[full].fill(50 << 10)
	g.start(full)
	g.leader()
	if err := g.try(g.newNumber(), largeCommand); !errors.Is(err, node.ErrTooLarge) && !errors.Is(err, node.ErrNoRoom) {
		t.Fatalf("large command on a full disk: %v", err)
	}
	g.disks[full].setCapacity(smallDiskBytes)
	g.proposeLarge(1)
	g.waitAcknowledged()
}

// A log without room for a new segment was one large segment, which no snapshot removed.
func TestCommandsAreTakenOnceFilesCanBeCreatedAgain(t *testing.T) {
	for _, commandsBehind := range []int{0, 60} {
		g := newSmallGroup(t, 1, 0)
		g.applyDelay = 10 * time.Millisecond
		g.start(g.names...)
		g.leader()
		var full atomic.Bool
		full.Store(true)
		g.disks[g.names[0]].onCreate = func(path string) error {
			if full.Load() && !strings.HasSuffix(path, "/synced") {
				return syscall.ENOSPC
			}
			return nil
		}
		for refused := false; !refused; {
			err := g.try(g.newNumber(), largeCommand)
			refused = errors.Is(err, node.ErrNoRoom)
			if err != nil && !refused {
				t.Fatal(err)
			}
		}
		full.Store(false)
		g.proposeBehindSnapshot(commandsBehind)
		g.proposeLarge(20)
		g.waitAcknowledged()
	}
}

// proposeBehindSnapshot proposes small commands while a refused command asks for a snapshot,
// so that some are in the log but not in the snapshot.
func (g *smallGroup) proposeBehindSnapshot(count int) {
	g.tb.Helper()
	n, first := g.members[g.leader()].node, g.lastNumber+1
	g.lastNumber += uint64(count)
	var proposals sync.WaitGroup
	for i := range count {
		proposals.Go(func() {
			if _, err := n.Propose(g.tb.Context(), g.encode(first+uint64(i), smallCommand)); err != nil {
				g.tb.Error(err)
			}
		})
		if i == count/4 {
			_ = g.try(g.newNumber(), largeCommand)
		}
		time.Sleep(3 * time.Millisecond)
	}
	proposals.Wait()
	for i := range count {
		g.acknowledged[first+uint64(i)]++
	}
}

// A leader whose disk was full left the others without one until their election timeouts.
func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	g := newSmallGroup(t, 3, 0)
	g.start(g.names...)
	g.proposeLarge(5)
	full := g.leader()
	g.disks[full].fill(1000)
	g.faults++
	_ = g.try(g.newNumber(), largeCommand)
	m := g.members[full]
	g.wait("end of the member", func() bool { return m.node.Err() != nil && m.node.Status().Role != node.RoleLeader })
	g.stop(full)
	g.disks[full].setCapacity(smallDiskBytes)
	g.start(full)
	g.waitAcknowledged()
}
