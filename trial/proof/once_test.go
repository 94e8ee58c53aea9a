package proof_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// onceCall is one call that must run at most once, with the answers to all its
// attempts.
type onceCall struct {
	key     string
	answers []*caller.Answer
}

func (f *onceCall) lastAnswer() *caller.Answer { return f.answers[len(f.answers)-1] }

// onceClient sends run-once calls through the entry instances of a deployment.
type onceClient struct {
	*keeperGroup
	caller *caller.Caller
}

func startOnceClient(t *testing.T, proxyLinks bool) *onceClient {
	g := startKeeperGroup(t, fleet.Options{
		Entries: 3, ProxyLinks: proxyLinks,
		PlainServers: []fleet.PlainServer{{Name: "permit1", Centre: "north", Service: "permit", ExtraSettings: map[string]any{"time": "60ms"}}},
		Commands:     "declare service permit kind plain class first deadline 6s once true",
	})
	f := &onceClient{keeperGroup: g, caller: caller.New(g.CallerToken())}
	t.Cleanup(f.caller.Close)
	return f
}

// resendDelay is how long callers wait for the first answer before they resend
// through another instance.
const resendDelay = 400 * time.Millisecond

// send makes one attempt through an instance and records its answer. A broken
// connection gives an answer without status.
func (f *onceClient) send(c *onceCall, entry *fleet.Process, limit time.Duration) {
	ctx, cancel := context.WithTimeout(f.t.Context(), limit)
	defer cancel()
	a, _ := f.caller.CallPlain(ctx, entry.URL(), caller.PlainCall{Service: "permit", Path: "file", Key: c.key, Body: c.key})
	c.answers = append(c.answers, a)
}

// resendUntilKnown resends a call until its outcome is final: done, or
// permanently unknown.
func (f *onceClient) resendUntilKnown(c *onceCall, entry *fleet.Process) {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		f.send(c, entry, waitTimeout)
		a := c.lastAnswer()
		if a.Status() == 200 || a.Execution() == "unknown" && a.Code() != "busy" && a.Status() != 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Errorf("%s: no final outcome, last answer: status %d, code %s, ran %s", c.key, c.lastAnswer().Status(), c.lastAnswer().Code(), c.lastAnswer().Execution())
}

// sendBurst starts calls spread evenly over a time, first sent through one
// instance, and calls during halfway through. It resends each call through the
// second instance until its outcome is final.
func (f *onceClient) sendBurst(name string, count int, spread time.Duration, first, second *fleet.Process, during func()) []*onceCall {
	calls := make([]*onceCall, count)
	var group sync.WaitGroup
	for i := range calls {
		calls[i] = &onceCall{key: fmt.Sprint(name, "-", i)}
		group.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(count))
			f.send(calls[i], first, resendDelay)
			f.resendUntilKnown(calls[i], second)
		})
	}
	time.Sleep(spread / 2)
	during()
	group.Wait()
	return calls
}

// checkRuns compares the answers that callers got with the runs that the
// backend server recorded, and returns how many calls are done and how many
// unknown.
func (f *onceClient) checkRuns(calls []*onceCall) (done, unknown int) {
	f.t.Helper()
	var records []inject.Record
	if err := f.History(f.t.Context(), "permit1", &records); err != nil {
		f.t.Fatal(err)
	}
	runs := make(map[string]int)
	for _, r := range records {
		if r.Kind == inject.RecordExecuted {
			runs[r.Body]++
		}
	}
	for _, c := range calls {
		if runs[c.key] > 1 {
			f.t.Errorf("%s ran %d times", c.key, runs[c.key])
		}
		body := ""
		for _, a := range c.answers {
			switch {
			case a.Status() == 200 && body == "":
				body = string(a.Body())
			case a.Status() == 200 && body != string(a.Body()):
				f.t.Errorf("%s: different answers %q and %q", c.key, body, a.Body())
			}
		}
		switch {
		case body != "":
			done++
			if runs[c.key] == 0 {
				f.t.Errorf("%s was answered but didn't run", c.key)
			}
		case c.lastAnswer().Execution() == "unknown":
			unknown++
		case c.lastAnswer().Execution() == "not_run" && runs[c.key] > 0:
			f.t.Errorf("%s was refused as not_run but ran", c.key)
		}
	}
	return done, unknown
}

// TestOnceHolderKilled kills the entry instance that holds the calls while they
// are at different steps. Each call is resent through another instance, also
// while the holder restarts; it must run at most once with a consistent answer.
func TestOnceHolderKilled(t *testing.T) {
	f := startOnceClient(t, false)
	e := f.Entries()
	all := make([]*onceCall, 0, 80)
	for round := range 2 {
		all = append(all, f.sendBurst(fmt.Sprint("kill", round), 40, 200*time.Millisecond, e[0], e[1], e[0].Kill)...)
		if err := e[0].Start(); err != nil {
			t.Fatal(err)
		}
		f.waitFor("the holder to restart", func() error { return f.CheckVersion(t.Context(), e[0], 1) })
	}
	done, unknown := f.checkRuns(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
	if done == 0 || unknown == 0 {
		t.Error("the kill missed some steps: want both done and unknown calls")
	}
}

// TestOnceHolderPaused pauses the entry instance that holds the calls while they
// are at different steps, until it counts as lost and the calls were resent
// elsewhere. When it resumes, no call may run again.
func TestOnceHolderPaused(t *testing.T) {
	f := startOnceClient(t, false)
	e := f.Entries()
	all := f.sendBurst("pause", 40, 200*time.Millisecond, e[0], e[1], func() {
		e[0].Pause()
		time.Sleep(2500 * time.Millisecond)
		e[0].Resume()
	})
	time.Sleep(200 * time.Millisecond)
	done, unknown := f.checkRuns(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
}

// TestOnceLedgerLeaderLost kills the ledger's leader, then pauses the next one,
// while calls are at different steps. Each call runs at most once, and at least
// half are answered.
func TestOnceLedgerLeaderLost(t *testing.T) {
	f := startOnceClient(t, false)
	e := f.Entries()
	old := f.leader()
	all := f.sendBurst("killed", 40, 200*time.Millisecond, e[0], e[1], old.Kill)
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the old leader to follow", func() error { _, err := f.status(old); return err })
	next := f.leader()
	all = append(all, f.sendBurst("stopped", 40, 200*time.Millisecond, e[0], e[2], next.Pause)...)
	next.Resume()
	done, unknown := f.checkRuns(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
	if done < len(all)/2 {
		t.Errorf("%d of %d done, want at least half", done, len(all))
	}
}

// TestOnceDiskLost deletes the data folder of the ledger's leader while calls
// are at different steps; it rejoins as a new member. Each call runs at most
// once, and at least half are answered.
func TestOnceDiskLost(t *testing.T) {
	f := startOnceClient(t, false)
	e := f.Entries()
	old := f.leader()
	all := f.sendBurst("disk", 40, 200*time.Millisecond, e[0], e[1], func() {
		old.Kill()
		if err := os.RemoveAll(old.DataFolder()); err != nil {
			t.Error(err)
		}
		if err := old.Start(); err != nil {
			t.Error(err)
		}
	})
	done, unknown := f.checkRuns(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
	if done < len(all)/2 {
		t.Errorf("%d of %d done, want at least half", done, len(all))
	}
}

// TestOnceAnswerLost drops the answers to three calls after the backend server
// ran them. Their outcome stays unknown and they aren't sent again. The same key
// under another account is a separate call, which never gets the answer of the
// first account.
func TestOnceAnswerLost(t *testing.T) {
	f := startOnceClient(t, false)
	e := f.Entries()
	if err := f.InjectFault(t.Context(), fleet.Fault{Target: "permit1", Kind: string(inject.DropAnswer), Count: 3}); err != nil {
		t.Fatal(err)
	}
	all := f.sendBurst("lost", 6, 50*time.Millisecond, e[0], e[1], func() {})
	done, unknown := f.checkRuns(all)
	if done != 3 || unknown != 3 {
		t.Errorf("%d done, %d unknown, want 3 and 3", done, unknown)
	}
	f.runAt(f.leader(), "declare account other token other-token")
	other := caller.New("other-token")
	defer other.Close()
	f.waitFor("the other account", func() error {
		a, err := other.CallPlain(t.Context(), e[2].URL(), caller.PlainCall{Service: "permit", Path: "file", Key: all[0].key, Body: "of another"})
		if err == nil && a.Status() != 200 {
			err = fmt.Errorf("status %d", a.Status())
		}
		return err
	})
}

// TestOnceHolderPartitioned partitions an entry instance from the ledger while
// its calls are at different steps, in both directions and in each one. Each
// call runs at most once.
func TestOnceHolderPartitioned(t *testing.T) {
	f := startOnceClient(t, true)
	e := f.Entries()
	all := make([]*onceCall, 0, 90)
	for _, kind := range []inject.FaultKind{inject.Partition, inject.PartitionUp, inject.PartitionDown} {
		all = append(all, f.sendBurst(string(kind), 30, 200*time.Millisecond, e[0], e[1], func() {
			if err := f.SetPartition(t.Context(), e[0].Name(), string(kind)); err != nil {
				t.Error(err)
			}
			time.Sleep(1500 * time.Millisecond)
			if err := f.SetPartition(t.Context(), e[0].Name(), string(inject.ClearFaults)); err != nil {
				t.Error(err)
			}
		})...)
	}
	done, unknown := f.checkRuns(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
}
