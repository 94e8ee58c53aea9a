package node_test

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"verbenahaven.example/core/process/node"
)

const (
	smallDiskBytes = 6 << 20
	largeCommand   = 100 << 10
)

// newSmallGroup returns a group whose members have small disks.
func newSmallGroup(t *testing.T, voters, spares int) (*group, map[string]*smallDisk) {
	t.Helper()
	disks := make(map[string]*smallDisk)
	g := newGroup(t, voters, spares, func(s *node.Settings) {
		disks[s.Name] = newSmallDisk(smallDiskBytes)
		s.FileSystem, s.DiskBytes, s.MemoryBytes = disks[s.Name], smallDiskBytes, 64<<20
		s.ElectionTimeout = 500 * time.Millisecond
	})
	return g, disks
}

func (g *group) setDisk(disks map[string]*smallDisk, name string, d *smallDisk) {
	disks[name] = d
	s := g.settings[name]
	s.FileSystem = d
	g.settings[name] = s
}

// losePower cuts the power of all members and starts them again.
func (g *group) losePower(disks map[string]*smallDisk) {
	g.tb.Helper()
	for _, d := range disks {
		d.cutPower()
	}
	for name, d := range disks {
		if m := g.members[name]; m != nil {
			m.node.Kill()
		}
		g.stop(name)
		g.setDisk(disks, name, d.afterPowerLoss())
	}
	g.start(g.names...)
}

// tryLarge proposes a command of the given size to the leader, once.
func (g *group) tryLarge(size int) error {
	b := bytes.Repeat([]byte{7}, size)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := g.members[g.leader()].node.Propose(ctx, b)
	return err
}

// proposeLarge has a number of commands acknowledged, beside others whose outcome
// is unknown.
func (g *group) proposeLarge(count int) {
	g.tb.Helper()
	for range count {
		g.wait("acknowledgement", func() bool { return g.tryLarge(largeCommand) == nil })
	}
}

// waitAcknowledged waits until all members agree on a state with the acknowledged
// commands, and returns how many it has.
func (g *group) waitAcknowledged(least uint64) uint64 {
	g.tb.Helper()
	g.wait("acknowledgement", func() bool { return g.tryLarge(100) == nil })
	var count, total uint64
	g.wait("same state everywhere", func() bool {
		count, total = g.members[g.names[0]].machine.read()
		for _, m := range g.members {
			if c, t := m.machine.read(); c != count || t != total {
				return false
			}
		}
		return true
	})
	if count < least+1 {
		g.tb.Fatalf("%d commands read back, %d were acknowledged", count, least+1)
	}
	return count
}

func TestHundredsOfLargeCommandsFitSmallDisk(t *testing.T) {
	g, disks := newSmallGroup(t, 3, 0)
	g.padBytes = 200 << 10
	g.start(g.names...)
	const commands = 300
	g.proposeLarge(commands)
	for _, name := range g.names {
		g.stop(name)
	}
	g.start(g.names...)
	count := g.waitAcknowledged(commands)
	for _, name := range g.names {
		g.stop(name)
		g.setDisk(disks, name, newSmallDisk(smallDiskBytes))
		g.start(name)
		count = g.waitAcknowledged(count)
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
		g, disks := newSmallGroup(t, 3, 0)
		g.start(g.names...)
		count := uint64(0)
		for range 5 {
			g.proposeLarge(17)
			g.losePower(disks)
			count = g.waitAcknowledged(count + 17)
		}
	})
	t.Run("during a snapshot", func(t *testing.T) {
		for at := range 4 {
			g, disks := newSmallGroup(t, 3, 0)
			g.padBytes = 600 << 10
			g.start(g.names...)
			count := g.powerLossAtWrite(disks, "snap-", at)
			g.waitAcknowledged(count)
		}
	})
	t.Run("during a change of the group", func(t *testing.T) {
		g, disks := newSmallGroup(t, 3, 1)
		g.start(g.names...)
		g.proposeLarge(60)
		victim := g.names[0]
		if g.leader() == victim {
			victim = g.names[1]
		}
		g.stop(victim)
		count := uint64(60)
		g.wait("replacement of the lost voter", func() bool {
			g.proposeLarge(1)
			count++
			return slices.Contains(g.members[g.leader()].node.Status().Voters, g.names[3])
		})
		g.losePower(disks)
		g.waitAcknowledged(count)
	})
}

// powerLossAtWrite proposes large commands until the power is cut before a write of
// a file with the given prefix, after some others. It returns how many commands were
// acknowledged before.
func (g *group) powerLossAtWrite(disks map[string]*smallDisk, prefix string, skip int) uint64 {
	g.tb.Helper()
	var writes atomic.Int64
	cut := make(chan struct{})
	cutAll := sync.OnceFunc(func() {
		for _, d := range disks {
			d.cutPower()
		}
		close(cut)
	})
	leader := g.leader()
	for _, name := range g.names {
		g.stop(name)
	}
	disks[leader].onWrite = func(path string) error {
		if strings.Contains(path, "/"+prefix) && writes.Add(1) > int64(skip) {
			cutAll()
		}
		return nil
	}
	g.start(g.names...)
	acknowledged := uint64(0)
	g.wait("power loss at a write of "+prefix, func() bool {
		for _, m := range g.members {
			b := make([]byte, largeCommand)
			b[7] = 1
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if _, err := m.node.Propose(ctx, b); err == nil {
				acknowledged++
			}
			cancel()
		}
		select {
		case <-cut:
			return true
		default:
			return false
		}
	})
	g.losePower(disks)
	return acknowledged
}

func TestCommandWithoutRoomIsRefused(t *testing.T) {
	g, disks := newSmallGroup(t, 1, 0)
	g.grows = true
	g.start(g.names...)
	if err := g.tryLarge(smallDiskBytes / 4); !errors.Is(err, node.ErrTooLarge) {
		t.Errorf("command of a quarter of the disk: got %v", err)
	}
	accepted, refused := uint64(0), 0
	for refused < 20 {
		switch err := g.tryLarge(largeCommand); {
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
	if err := g.tryLarge(100); err != nil {
		t.Errorf("small command beside a state that is full: %v", err)
	}
	g.losePower(disks)
	g.waitAcknowledged(accepted + 1)
}

func TestFullDiskIsSurvived(t *testing.T) {
	t.Run("of one member", func(t *testing.T) {
		g, disks := newSmallGroup(t, 3, 0)
		g.start(g.names...)
		g.proposeLarge(20)
		full := g.leader()
		disks[full].fill(1000)
		m := g.members[full]
		_ = g.tryLarge(largeCommand) // whether this one is committed doesn't matter
		g.wait("end of the member", func() bool { return m.node.Err() != nil })
		if m.meter.Value("disk", "full") == 0 {
			t.Error("the full disk wasn't counted")
		}
		g.stop(full)
		g.proposeLarge(50)
		disks[full].setCapacity(smallDiskBytes)
		g.start(full)
		g.waitAcknowledged(70)
	})
	t.Run("during snapshots", func(t *testing.T) {
		g, disks := newSmallGroup(t, 1, 0)
		var failures atomic.Int64
		disks[g.names[0]].onWrite = func(path string) error {
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
		g.losePower(disks)
		g.waitAcknowledged(150)
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
