package proof_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/trial/fleet"
)

// maxPropagation bounds the time until a change has reached all entry instances.
const maxPropagation = 8 * time.Second

// versionWatcher polls the current version on each entry instance and fails the
// test if it decreases.
type versionWatcher struct {
	g     *keeperGroup
	done  chan struct{}
	group sync.WaitGroup
}

func (g *keeperGroup) watchVersions() *versionWatcher {
	s := &versionWatcher{g: g, done: make(chan struct{})}
	for _, p := range g.Entries() {
		s.group.Go(func() { s.poll(p) })
	}
	return s
}

func (s *versionWatcher) poll(p *fleet.Process) {
	var newest uint64
	pid := p.PID()
	for {
		select {
		case <-s.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if p.PID() != pid {
			newest, pid = 0, p.PID() // restarted: it begins without a version
		}
		var status struct {
			Version uint64 `json:"version"`
		}
		ctx, cancel := context.WithTimeout(s.g.t.Context(), time.Second)
		err := s.g.Get(ctx, p.URL()+"/status", &status)
		cancel()
		if err != nil || p.PID() != pid {
			continue
		}
		if status.Version < newest {
			s.g.t.Errorf("%s went back from version %d to %d", p.Name(), newest, status.Version)
		}
		newest = status.Version
	}
}

func (s *versionWatcher) close() {
	close(s.done)
	s.group.Wait()
}

// waitVersion waits until all entry instances have at least a version and
// returns how long that took.
func (g *keeperGroup) waitVersion(version uint64) time.Duration {
	g.t.Helper()
	start := time.Now()
	for _, p := range g.Entries() {
		g.waitFor(fmt.Sprintf("version %d at %s", version, p.Name()), func() error {
			return g.CheckVersion(g.t.Context(), p, version)
		})
	}
	took := time.Since(start)
	if took > maxPropagation {
		g.t.Errorf("version %d reached all entry instances only after %s", version, took)
	}
	return took
}

func startConfigGroup(t *testing.T, entries, spares int) *keeperGroup {
	return startKeeperGroup(t, fleet.Options{Entries: entries, Spares: spares, Commands: "declare service counter model spec"})
}

// TestConfigOperatorsRace sends different commands under the same command
// number to different keepers at once, and resends each. For each number exactly
// one command wins and its copies get the same answer; the others are refused.
// The current state is that of the winner.
func TestConfigOperatorsRace(t *testing.T) {
	g := startConfigGroup(t, 2, 0)
	keepers := g.Keepers()
	const rounds, competitors = 10, 3
	for round := range rounds {
		replies := make([][]proto.RunReply, competitors)
		var group sync.WaitGroup
		for i := range competitors {
			group.Go(func() {
				r := proto.RunRequest{
					Operator: "operator", Number: uint64(5000 + round),
					Text: fmt.Sprintf("declare model m%d revision r%d", round, i),
				}
				for try := range 3 {
					reply, err := g.RunAt(t.Context(), keepers[(i+try)%len(keepers)], r)
					if err == nil {
						replies[i] = append(replies[i], reply)
					}
				}
			})
		}
		group.Wait()
		winners := 0
		for i, list := range replies {
			if len(list) == 0 {
				continue
			}
			winners++
			for _, r := range list {
				if r.Version != list[0].Version {
					t.Errorf("number %d: answers %d and %d", 5000+round, list[0].Version, r.Version)
				}
			}
			reply := g.runAt(keepers[0], "ask models where name = m%d show revision", round)
			if got := reply.Tables[0].Rows[0][0]; got != fmt.Sprint("r", i) {
				t.Errorf("command %d won, but the current revision is %s", i, got)
			}
		}
		if winners != 1 {
			t.Errorf("number %d: %d commands won, want 1", 5000+round, winners)
		}
	}
}

// TestConfigCatchUpAfterManyChanges pauses one entry instance and kills another
// during 320 changes. Both catch up soon after they return, and no instance goes
// back to an older version.
func TestConfigCatchUpAfterManyChanges(t *testing.T) {
	g := startConfigGroup(t, 4, 0)
	watcher := g.watchVersions()
	defer watcher.close()
	e := g.Entries()
	e[1].Pause()
	e[2].Kill()
	leader := g.leader()
	var version uint64
	for i := range 320 {
		version = g.runAt(leader, "declare model m%d revision r%d", i%40, i).Version
	}
	e[1].Resume()
	if err := e[2].Start(); err != nil {
		t.Fatal(err)
	}
	t.Logf("all entry instances caught up after %s", g.waitVersion(version))
}

// TestConfigStaleLeaderAndLostDisk pauses the leader until its successor has
// accepted changes, resumes it, then deletes its data folder and restarts it.
// No entry instance goes back to an older version, and the keeper catches up.
func TestConfigStaleLeaderAndLostDisk(t *testing.T) {
	g := startConfigGroup(t, 3, 1)
	watcher := g.watchVersions()
	defer watcher.close()
	old := g.leader()
	g.runAt(old, "declare model m revision r1")
	old.Pause()
	next := g.leader(old)
	v := g.runAt(next, "declare model m revision r2").Version
	g.waitVersion(v)
	old.Resume()
	time.Sleep(300 * time.Millisecond)
	g.waitVersion(v)
	old.Kill()
	if err := os.RemoveAll(old.DataFolder()); err != nil {
		t.Fatal(err)
	}
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	v = g.runAt(g.leader(), "declare model m revision r3").Version
	g.waitVersion(v)
	g.waitFor("the keeper with the deleted data folder to catch up", func() error {
		s, err := g.status(old)
		if err == nil && s.Version < v {
			err = fmt.Errorf("version %d", s.Version)
		}
		return err
	})
	if r := g.runAt(next, "ask models show revision"); r.Tables[0].Rows[0][0] != "r3" {
		t.Errorf("current models are %v, want revision r3", r.Tables[0].Rows)
	}
}

// TestConfigPropagationTime measures how long a change takes from acceptance
// until all of 12 entry instances have it. It takes well under a second as a
// rule; the test fails only above maxPropagation.
func TestConfigPropagationTime(t *testing.T) {
	g := startConfigGroup(t, 12, 0)
	watcher := g.watchVersions()
	defer watcher.close()
	leader := g.leader()
	const changes = 50
	times := make([]time.Duration, 0, changes)
	for i := range changes {
		times = append(times, g.waitVersion(g.runAt(leader, "declare model m revision r%d", i).Version))
	}
	slices.Sort(times)
	t.Logf("propagation to 12 instances: median %s, p99 %s, max %s", times[changes/2], times[changes*99/100], times[changes-1])
	if p99 := times[changes*99/100]; p99 > maxPropagation {
		t.Errorf("p99 of the propagation time is %s", p99)
	}
}
