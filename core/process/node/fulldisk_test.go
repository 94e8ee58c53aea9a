package node_test

import (
	"errors"
	"testing"

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
