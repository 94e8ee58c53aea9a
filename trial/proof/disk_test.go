package proof_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/trial/fleet"
)

// TestDiskFolderDeleted takes the folder of a follower, then of the leader,
// away. The instance returns as a new member, is taken back as a voter, and
// nothing that was accepted is lost.
func TestDiskFolderDeleted(t *testing.T) {
	g := startDisks(t, 0)
	g.declare(20)
	for _, choose := range []func() *fleet.Process{g.follower, func() *fleet.Process { return g.leader() }} {
		victim := choose()
		victim.Kill()
		if err := os.RemoveAll(victim.Folder()); err != nil {
			t.Fatal(err)
		}
		g.start(victim)
		g.declare(5)
		g.caughtUp(victim)
		g.votes(victim)
		g.voters("keep1", "keep2", "keep3")
	}
	g.intact()
}

// TestDiskDamagedRecord damages a synced record. The member refuses its
// folder, keeps it for inspection, and returns as a new one.
func TestDiskDamagedRecord(t *testing.T) {
	g := startDisks(t, 0)
	g.declare(20)
	victim := g.follower()
	victim.Kill()
	if err := damage(victim); err != nil {
		t.Fatal(err)
	}
	g.start(victim)
	g.declare(5)
	g.caughtUp(victim)
	g.votes(victim)
	if n := g.counter(victim, "disk.refused.damaged"); n != 1 {
		t.Errorf("counter disk.refused.damaged is %d", n)
	}
	if aside, _ := filepath.Glob(filepath.Join(victim.Folder(), "damaged-*")); len(aside) != 1 {
		t.Errorf("set aside: %v", aside)
	}
	g.intact()
}

// TestDiskFull lets the log of the leader grow no further. It must stop, and
// the others go on with all that was accepted.
func TestDiskFull(t *testing.T) {
	g := startDisks(t, 0)
	g.declare(5)
	victim := g.leader()
	log, err := newestLog(victim)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(log)
	if err != nil {
		t.Fatal(err)
	}
	size := uint64(info.Size()) + 1
	limit := unix.Rlimit{Cur: size, Max: size}
	if err := unix.Prlimit(victim.PID(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	g.declare(10)
	g.wait("the member to stop", func() error {
		if victim.Running() {
			return errors.New("still runs")
		}
		return nil
	})
	if b, _ := os.ReadFile(victim.Output()); !strings.Contains(string(b), disk.ErrFailed.Error()) {
		t.Errorf("it doesn't say why: %s", b)
	}
	g.start(victim)
	g.caughtUp(victim)
	g.intact()
}

// TestDiskAllKilled kills all members at once, several times, in the middle
// of changes.
func TestDiskAllKilled(t *testing.T) {
	g := startDisks(t, 0)
	for range 3 {
		g.declare(15)
		for _, p := range g.Keepers() {
			p.Kill()
		}
		for _, p := range g.Keepers() {
			g.start(p)
		}
	}
	g.declare(1)
	g.intact()
}

// TestDiskLeaderPaused stops the leader for longer than an election. The
// others go on; the old leader accepts nothing by itself when it wakes.
func TestDiskLeaderPaused(t *testing.T) {
	g := startDisks(t, 0)
	g.declare(5)
	old := g.leader()
	s, err := g.status(old)
	if err != nil {
		t.Fatal(err)
	}
	old.Pause()
	next := g.leader(old)
	g.declare(5, old)
	old.Resume()
	g.caughtUp(old)
	if now, err := g.status(next); err != nil || now.Term <= s.Term {
		t.Errorf("term %d after %d, %v", now.Term, s.Term, err)
	}
	g.intact()
}

// TestDiskSecondLossAfterRepair kills a voter, waits until a spare has taken
// its place, and kills another voter at once: a majority that has everything
// must be left.
func TestDiskSecondLossAfterRepair(t *testing.T) {
	g := startDisks(t, 1)
	g.declare(20)
	first := g.follower()
	first.Kill()
	names := []string{"keep4"}
	for _, p := range g.Keepers()[:3] {
		if p != first {
			names = append(names, p.Name())
		}
	}
	g.voters(names...)
	start := time.Now()
	g.leader().Kill()
	g.declare(5)
	t.Logf("accepted %s after the second loss", time.Since(start).Round(time.Millisecond))
	g.intact()
}

// TestDiskLostFolderHasNoVote leaves only a member that missed changes and one
// that lost its folder. Together they would be a majority by name; they must
// not elect a leader, or the changes would be lost. With the third member
// everything is there.
func TestDiskLostFolderHasNoVote(t *testing.T) {
	g := startDisks(t, 0)
	g.declare(5)
	whole := g.leader()
	var rest []*fleet.Process
	for _, p := range g.Keepers() {
		if p != whole {
			rest = append(rest, p)
		}
	}
	lost, late := rest[0], rest[1]
	late.Pause()
	g.declare(5, late)
	whole.Kill()
	lost.Kill()
	if err := os.RemoveAll(lost.Folder()); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	late.Resume()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range rest {
			if s, err := g.status(p); err == nil && s.Role == "leader" {
				t.Fatalf("%s leads without a member that has all changes", p.Name())
			}
		}
	}
	g.start(whole)
	g.declare(1)
	g.intact()
}
