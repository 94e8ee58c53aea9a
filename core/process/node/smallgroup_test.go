package node_test

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/process/node"
)

const (
	smallDiskBytes = 6 << 20
	largeCommand   = 100 << 10
	smallCommand   = 100
)

// smallGroup is a group whose members have small disks. Each command adds a number of
// its own, so that what the members hold can be compared with the outcomes.
type smallGroup struct {
	*group
	diskBytes    int
	encode       func(number uint64, size int) []byte // returns a command
	disks        map[string]*smallDisk
	lastNumber   uint64
	acknowledged map[uint64]uint64 // how often each number was acknowledged
	unknown      map[uint64]uint64 // how often its outcome was unknown
	faults       int               // proposals that faults may have left without an outcome
}

func newSmallGroup(tb testing.TB, voters, spares int) *smallGroup {
	tb.Helper()
	return newLimitedGroup(tb, voters, spares, smallDiskBytes, 64<<20)
}

func newLimitedGroup(tb testing.TB, voters, spares, diskBytes, memoryBytes int) *smallGroup {
	tb.Helper()
	disks := make(map[string]*smallDisk)
	g := newGroup(tb, voters, spares, func(s *node.Settings) {
		disks[s.Name] = newSmallDisk(diskBytes)
		s.FileSystem, s.DiskBytes, s.MemoryBytes = disks[s.Name], int64(diskBytes), int64(memoryBytes)
		s.ElectionTimeout = 500 * time.Millisecond
	})
	return &smallGroup{
		group: g, diskBytes: diskBytes, encode: numberCommand, disks: disks,
		acknowledged: make(map[uint64]uint64), unknown: make(map[uint64]uint64),
	}
}

// numberCommand returns a command that adds a number.
func numberCommand(number uint64, size int) []byte {
	b := make([]byte, size)
	binary.BigEndian.PutUint64(b, number)
	return b
}

func (g *smallGroup) setDisk(name string, d *smallDisk) {
	g.disks[name] = d
	s := g.settings[name]
	s.FileSystem = d
	g.settings[name] = s
}

// checkMembers fails the test if a member with power has stopped by itself, or has
// stored more than its budget.
func (g *smallGroup) checkMembers() {
	g.tb.Helper()
	for name, m := range g.members {
		peak, on := g.disks[name].usage()
		if err := m.node.Err(); err != nil && on {
			g.tb.Errorf("%s stopped by itself: %v", name, err)
		}
		if most := node.MostOnDisk(int64(g.diskBytes)); int64(peak) > most {
			g.tb.Errorf("%s stored %d bytes, its budget is %d", name, peak, most)
		}
	}
}

// lose stops a member.
func (g *smallGroup) lose(name string) {
	g.tb.Helper()
	g.checkMembers()
	g.faults++
	g.stop(name)
}

func (g *smallGroup) restartAll() {
	g.tb.Helper()
	for _, name := range g.names {
		g.lose(name)
	}
	g.start(g.names...)
}

func (g *smallGroup) cutPower() {
	for _, d := range g.disks {
		d.cutPower()
	}
}

// losePower cuts the power of all members and starts them again.
func (g *smallGroup) losePower() {
	g.tb.Helper()
	g.checkMembers()
	g.faults++
	g.cutPower()
	for name, d := range g.disks {
		if m := g.members[name]; m != nil {
			m.node.Kill()
		}
		g.stop(name)
		g.setDisk(name, d.afterPowerLoss())
	}
	g.start(g.names...)
}

func (g *smallGroup) newNumber() uint64 {
	g.lastNumber++
	return g.lastNumber
}

// try proposes a command of the given size to the leader, once.
func (g *smallGroup) try(number uint64, size int) error {
	g.tb.Helper()
	return g.tryAt(g.leader(), number, size, 3*time.Second)
}

func (g *smallGroup) tryAt(name string, number uint64, size int, timeout time.Duration) error {
	b := g.encode(number, size)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := g.members[name].node.Propose(ctx, b)
	switch {
	case err == nil:
		g.acknowledged[number]++
	case errors.Is(err, node.ErrNotLeader), errors.Is(err, node.ErrNoRoom), errors.Is(err, node.ErrTooLarge), errors.Is(err, node.ErrQueueFull):
		// It was not accepted.
	default:
		g.unknown[number]++
	}
	return err //nolint:wrapcheck // the caller compares it
}

// proposeLarge has a number of commands acknowledged. One whose outcome is unknown is
// proposed again.
func (g *smallGroup) proposeLarge(count int) {
	g.tb.Helper()
	for range count {
		g.proposeUntilAcknowledged(largeCommand)
	}
}

func (g *smallGroup) proposeUntilAcknowledged(size int) {
	g.tb.Helper()
	number := g.newNumber()
	g.wait("acknowledgement", func() bool { return g.try(number, size) == nil })
}

// unknownShare is the part of the commands, one of so many, whose outcome may be
// unknown on a busy machine without a fault.
const unknownShare = 20

// waitAcknowledged waits until all members agree on a state. It must hold what was
// acknowledged, and nothing that was refused.
func (g *smallGroup) waitAcknowledged() {
	g.tb.Helper()
	g.proposeUntilAcknowledged(smallCommand)
	var added map[uint64]uint64
	g.wait("same state everywhere", func() bool {
		added = g.members[g.names[0]].machine.readAdded()
		for _, m := range g.members {
			if !maps.Equal(m.machine.readAdded(), added) {
				return false
			}
		}
		return true
	})
	for number := range g.lastNumber + 1 {
		least, most := g.acknowledged[number], g.acknowledged[number]+g.unknown[number]
		if v := added[number]; v < least || v > most {
			g.tb.Errorf("command %d was applied %d times, want %d to %d", number, v, least, most)
		}
	}
	g.checkUnknown()
	g.checkMembers()
}

// checkUnknown fails the test if too many outcomes were unknown.
func (g *smallGroup) checkUnknown() {
	g.tb.Helper()
	unknown := 0
	for _, times := range g.unknown {
		unknown += int(times)
	}
	if limit := g.faults + len(g.acknowledged)/unknownShare; unknown > limit {
		g.tb.Errorf("%d outcomes were unknown in %d commands and %d faults, limit %d", unknown, len(g.acknowledged), g.faults, limit)
	}
}

// proposeUntil proposes large commands to all members until the power is cut.
func (g *smallGroup) proposeUntil(cut <-chan struct{}) {
	g.tb.Helper()
	stopped := make(map[string]bool) // the disks lose power one after the other
	g.wait("power loss", func() bool {
		for _, name := range g.names {
			if g.members[name] != nil && !stopped[name] {
				err := g.tryAt(name, g.newNumber(), largeCommand, time.Second)
				stopped[name] = errors.Is(err, node.ErrStopped)
			}
		}
		select {
		case <-cut:
			return true
		default:
			return false
		}
	})
	g.faults += len(g.members) // each may have lost one
}

// powerLossAtWrite proposes large commands until the power is cut before a write of
// a file with the given prefix, after some others.
func (g *smallGroup) powerLossAtWrite(prefix string, skip int) {
	g.tb.Helper()
	var writes atomic.Int64
	cut := make(chan struct{})
	cutAll := sync.OnceFunc(func() {
		g.cutPower()
		close(cut)
	})
	leader := g.leader()
	for _, name := range g.names {
		g.lose(name)
	}
	g.disks[leader].onWrite = func(path string) error {
		if strings.Contains(path, "/"+prefix) && writes.Add(1) > int64(skip) {
			cutAll()
		}
		return nil
	}
	g.start(g.names...)
	g.proposeUntil(cut)
	g.losePower()
}

// powerLossAtChange proposes large commands until the power is cut, some time after
// the leader begins to change the voters.
func (g *smallGroup) powerLossAtChange(leader string, later time.Duration) {
	g.tb.Helper()
	n, cut := g.members[leader].node, make(chan struct{})
	before := n.Status().Voters
	go func() {
		for slices.Equal(n.Status().Voters, before) {
			select {
			case <-n.Done():
				return
			case <-time.After(50 * time.Microsecond):
			}
		}
		time.Sleep(later)
		g.cutPower()
		close(cut)
	}()
	g.proposeUntil(cut)
	g.losePower()
}
