package node_test

import (
	"errors"
	"math/rand/v2"
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

// Long after disks had been full one after the other, commands were refused or unanswered.
func TestDisksFullInTurn(t *testing.T) {
	for _, voters := range []int{3, 5} {
		g := newSmallOpenGroup(t, voters, 1)
		g.start(g.names...)
		g.proposeLarge(20)
		draw := rand.New(rand.NewPCG(51, uint64(voters)))
		for _, name := range g.names {
			if draw.IntN(2) == 0 {
				name = g.leader()
			}
			free, length := draw.IntN(3)*largeCommand, time.Duration(draw.Int64N(int64(1500*time.Millisecond)))
			g.fillFor(name, free, length)
		}
		g.proposeLarge(5)
		g.waitAcknowledged()
		g.wait("all voters", func() bool { return len(g.voters()) == voters })
	}
}

// newSmallOpenGroup returns a group with open membership whose members have small disks.
func newSmallOpenGroup(t *testing.T, voters, others int) *smallGroup {
	t.Helper()
	g := &smallGroup{
		group: newOpenGroup(t, voters, others, voters), diskBytes: smallDiskBytes, encode: numberCommand, disks: make(map[string]*smallDisk),
		acknowledged: make(map[uint64]uint64), unknown: make(map[uint64]uint64),
	}
	for name, s := range g.settings {
		s.DiskBytes, s.MemoryBytes = smallDiskBytes, 64<<20
		g.settings[name] = s
		g.setDisk(name, newSmallDisk(smallDiskBytes))
	}
	return g
}

// fillFor lets other files fill a member's disk for some time, while commands are proposed.
// A member that has stopped is started again once the disk has room.
func (g *smallGroup) fillFor(name string, free int, length time.Duration) {
	g.tb.Helper()
	g.disks[name].fill(free)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		_ = g.try(g.newNumber(), largeCommand)
		if m := g.members[name]; m != nil && m.node.Err() != nil {
			g.faults++
			g.stop(name)
		}
	}
	g.disks[name].setCapacity(smallDiskBytes)
	if m := g.members[name]; m != nil && m.node.Err() != nil {
		g.stop(name)
	}
	if g.members[name] == nil {
		g.start(name)
	}
}
