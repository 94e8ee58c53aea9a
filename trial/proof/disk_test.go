package proof_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/trial/fleet"
)

// TestDiskFolderDeleted deletes the data folder of a follower, then of the
// leader. The instance rejoins as a new member and becomes a voter again, and no
// accepted change is lost.
func TestDiskFolderDeleted(t *testing.T) {
	g := startDiskGroup(t, 0)
	g.declareModels(20)
	for _, choose := range []func() *fleet.Process{g.follower, func() *fleet.Process { return g.leader() }} {
		victim := choose()
		victim.Kill()
		if err := os.RemoveAll(victim.DataFolder()); err != nil {
			t.Fatal(err)
		}
		g.start(victim)
		g.declareModels(5)
		g.waitCaughtUp(victim)
		g.waitVoting(victim)
		g.waitVoters("keep1", "keep2", "keep3")
	}
	g.checkModels()
}

// TestDiskDamagedRecord corrupts a synced log record. The member refuses its
// data folder, sets it aside for inspection, and rejoins as a new member.
func TestDiskDamagedRecord(t *testing.T) {
	g := startDiskGroup(t, 0)
	g.declareModels(20)
	victim := g.follower()
	victim.Kill()
	if err := flipLogBit(victim); err != nil {
		t.Fatal(err)
	}
	g.start(victim)
	g.declareModels(5)
	g.waitCaughtUp(victim)
	g.waitVoting(victim)
	if n := g.metric(victim, "disk.refused.damaged"); n != 1 {
		t.Errorf("metric disk.refused.damaged is %d, want 1", n)
	}
	if setAside, _ := filepath.Glob(filepath.Join(victim.DataFolder(), "damaged-*")); len(setAside) != 1 {
		t.Errorf("folders set aside are %v, want one", setAside)
	}
	g.checkModels()
}

// TestDiskFull limits the file size so that the leader's log can't grow. The
// leader must stop leading and log the cause, and the others keep serving with all
// accepted changes. Its process refuses calls until the log can grow again, and then
// votes again by itself.
func TestDiskFull(t *testing.T) {
	g := startDiskGroup(t, 0)
	g.declareModels(5)
	victim := g.leader()
	segment, err := newestLogSegment(victim)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(segment)
	if err != nil {
		t.Fatal(err)
	}
	limitFiles(t, victim, uint64(info.Size())+1)
	g.declareModels(10)
	limitFiles(t, victim, 0) // also of the files that it probes its disk with
	g.waitFor("the keeper to refuse calls", func() error { return g.refusesWithoutDisk(victim) })
	if b, _ := os.ReadFile(victim.LogPath()); !strings.Contains(string(b), disk.ErrWriteFailed.Error()) {
		t.Errorf("output doesn't name the disk failure: %s", b)
	}
	g.declareModels(5, victim)
	if !victim.Running() {
		t.Fatal("the keeper has ended")
	}
	limitFiles(t, victim, unix.RLIM_INFINITY)
	g.waitCaughtUp(victim)
	g.waitVoting(victim)
	for _, p := range g.Keepers() {
		if p != victim {
			p.Kill()
			break
		}
	}
	g.declareModels(5)
	g.checkModels()
}

// limitFiles limits the size of the files that a process may write.
func limitFiles(t *testing.T, p *fleet.Process, bytes uint64) {
	t.Helper()
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		t.Fatal(err)
	}
}

// refusesWithoutDisk returns an error unless a keeper refuses a call for its disk.
func (g *diskGroup) refusesWithoutDisk(p *fleet.Process) error {
	r, err := http.NewRequestWithContext(g.t.Context(), http.MethodGet, p.URL()+"/healthz", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(b), "takes no writes")) {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return err
}

// TestDiskAllKilled kills and restarts all members three times, each time after
// a series of changes. No accepted change may be lost.
func TestDiskAllKilled(t *testing.T) {
	g := startDiskGroup(t, 0)
	for range 3 {
		g.declareModels(15)
		for _, p := range g.Keepers() {
			p.Kill()
		}
		for _, p := range g.Keepers() {
			g.start(p)
		}
	}
	g.declareModels(1)
	g.checkModels()
}

// TestDiskLeaderPaused pauses the leader until another one is elected. The
// others accept changes. The old leader accepts nothing on its own when it
// resumes; it follows, under a higher term.
func TestDiskLeaderPaused(t *testing.T) {
	g := startDiskGroup(t, 0)
	g.declareModels(5)
	old := g.leader()
	before, err := g.status(old)
	if err != nil {
		t.Fatal(err)
	}
	old.Pause()
	next := g.leader(old)
	g.declareModels(5, old)
	old.Resume()
	g.waitCaughtUp(old)
	if now, err := g.status(next); err != nil || now.Term <= before.Term {
		t.Errorf("term is %d, want more than %d; error %v", now.Term, before.Term, err)
	}
	g.checkModels()
}

// TestDiskSecondLossAfterRepair kills a voter, waits until a spare has replaced
// it, and kills the leader right after that. The remaining majority must have
// all accepted changes.
func TestDiskSecondLossAfterRepair(t *testing.T) {
	g := startDiskGroup(t, 1)
	g.declareModels(20)
	first := g.follower()
	first.Kill()
	voters := []string{"keep4"}
	for _, p := range g.Keepers()[:3] {
		if p != first {
			voters = append(voters, p.Name())
		}
	}
	g.waitVoters(voters...)
	start := time.Now()
	g.leader().Kill()
	g.declareModels(5)
	t.Logf("changes accepted %s after the second loss", time.Since(start).Round(time.Millisecond))
	g.checkModels()
}

// TestDiskLostFolderHasNoVote leaves a member that missed changes and one that
// lost its data folder. By their names they are a majority, but they must not
// elect a leader, or the missed changes would be lost. Once the third member is
// back, all changes are there.
func TestDiskLostFolderHasNoVote(t *testing.T) {
	g := startDiskGroup(t, 0)
	g.declareModels(5)
	complete := g.leader()
	var others []*fleet.Process
	for _, p := range g.Keepers() {
		if p != complete {
			others = append(others, p)
		}
	}
	lost, stale := others[0], others[1]
	stale.Pause()
	g.declareModels(5, stale)
	complete.Kill()
	lost.Kill()
	if err := os.RemoveAll(lost.DataFolder()); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	stale.Resume()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range others {
			if s, err := g.status(p); err == nil && s.Role == "leader" {
				t.Fatalf("%s leads without a member that has all changes", p.Name())
			}
		}
	}
	g.start(complete)
	g.declareModels(1)
	g.checkModels()
}
