package node_test

import (
	"errors"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"verbenahaven.example/core/process/node"
)

func TestHundredsOfLargeCommandsFitSmallDisk(t *testing.T) {
	g := newSmallGroup(t, 3, 0)
	g.padBytes = 200 << 10
	g.start(g.names...)
	g.proposeLarge(300)
	g.restartAll()
	g.waitAcknowledged()
	for _, name := range g.names {
		g.lose(name)
		g.setDisk(name, newSmallDisk(smallDiskBytes))
		g.start(name)
		g.waitAcknowledged()
		g.wait("vote of the new member", func() bool {
			return g.members[name].node.Status().Role != node.RoleLearner && len(g.voters()) == 3
		})
	}
	for name, m := range g.members {
		if failed := m.meter.Value("disk", "failed"); failed > 0 {
			t.Errorf("%s: %d failed writes", name, failed)
		}
	}
}

func TestPowerLossKeepsAcknowledgedLargeCommands(t *testing.T) {
	t.Run("after a change", func(t *testing.T) {
		g := newSmallGroup(t, 3, 0)
		g.start(g.names...)
		for range 5 {
			g.proposeLarge(17)
			g.losePower()
			g.waitAcknowledged()
		}
	})
	t.Run("during a snapshot", func(t *testing.T) {
		for at := range 4 {
			g := newSmallGroup(t, 3, 0)
			g.padBytes = 600 << 10
			g.start(g.names...)
			g.powerLossAtWrite("snap-", at)
			g.waitAcknowledged()
		}
	})
	t.Run("during a change of the group", func(t *testing.T) {
		for _, later := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
			g := newSmallGroup(t, 3, 1)
			g.start(g.names...)
			g.proposeLarge(60)
			leader := g.leader()
			victim := g.names[0]
			if leader == victim {
				victim = g.names[1]
			}
			g.lose(victim)
			g.powerLossAtChange(leader, later)
			g.waitAcknowledged()
		}
	})
}

func TestCommandWithoutRoomIsRefused(t *testing.T) {
	g := newSmallGroup(t, 1, 0)
	g.grows = true
	g.start(g.names...)
	if err := g.try(g.newNumber(), smallDiskBytes/4); !errors.Is(err, node.ErrTooLarge) {
		t.Errorf("command of a quarter of the disk: got %v", err)
	}
	accepted, refused := 0, 0
	for refused < 20 {
		switch err := g.try(g.newNumber(), largeCommand); {
		case err == nil:
			accepted++
		case errors.Is(err, node.ErrNoRoom):
			refused++
			time.Sleep(time.Millisecond) // for the snapshot that a refusal asks for
		default:
			t.Fatal(err)
		}
	}
	if accepted < 8 {
		t.Errorf("only %d commands of %d bytes had room on %d bytes of disk", accepted, largeCommand, smallDiskBytes)
	}
	if err := g.try(g.newNumber(), smallCommand); err != nil {
		t.Errorf("small command beside a state that is full: %v", err)
	}
	g.losePower()
	g.waitAcknowledged()
}

func TestFullDiskIsSurvived(t *testing.T) {
	t.Run("of one member", func(t *testing.T) {
		g := newSmallGroup(t, 3, 0)
		g.start(g.names...)
		g.proposeLarge(20)
		full := g.leader()
		g.disks[full].fill(1000)
		m := g.members[full]
		_ = g.try(g.newNumber(), largeCommand) // whether this one is committed doesn't matter
		g.wait("end of the member", func() bool { return m.node.Err() != nil })
		if m.meter.Value("disk", "full") == 0 {
			t.Error("the full disk wasn't counted")
		}
		g.faults++
		g.stop(full)
		g.proposeLarge(50)
		g.disks[full].setCapacity(smallDiskBytes)
		g.start(full)
		g.waitAcknowledged()
	})
	t.Run("during snapshots", func(t *testing.T) {
		g := newSmallGroup(t, 1, 0)
		var failures atomic.Int64
		g.disks[g.names[0]].onWrite = func(path string) error {
			if strings.Contains(path, "/snap-") && failures.Add(1) <= 6 {
				return syscall.ENOSPC
			}
			return nil
		}
		g.start(g.names...)
		g.proposeLarge(150)
		if m := g.members[g.names[0]].meter; m.Value("disk", "full") == 0 || m.Value("disk", "failed") != 0 {
			t.Errorf("%d times full, %d failures", m.Value("disk", "full"), m.Value("disk", "failed"))
		}
		g.losePower()
		g.waitAcknowledged()
	})
}

// TestBudgetFitsDisk adds up the most that a budget lets a member store.
func TestBudgetFitsDisk(t *testing.T) {
	for diskBytes := int64(2 << 20); diskBytes < 1<<45; diskBytes += diskBytes / 3 {
		if most := node.MostOnDisk(diskBytes); most > diskBytes {
			t.Errorf("%d bytes on a disk of %d", most, diskBytes)
		}
	}
}
