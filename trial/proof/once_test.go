package proof_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// filing is one call that must run at most once, with all answers that its
// caller got.
type filing struct {
	key   string
	tries []*caller.Answer
}

func (f *filing) last() *caller.Answer { return f.tries[len(f.tries)-1] }

// filer files permits through the entry instances of a group.
type filer struct {
	*group
	caller *caller.Caller
}

func startFiler(t *testing.T, links bool) *filer {
	g := startGroup(t, fleet.Options{
		Entries: 3, Links: links,
		Plains:  []fleet.Plain{{Name: "permit1", Centre: "north", Service: "permit", Extra: map[string]any{"time": "60ms"}}},
		Declare: "declare service permit kind plain class first deadline 6s once true",
	})
	f := &filer{group: g, caller: caller.New(g.CallerToken())}
	t.Cleanup(f.caller.Close)
	return f
}

// patience is how long callers wait for their first try before they resend
// through another instance.
const patience = 400 * time.Millisecond

// try files once through an instance. A broken connection gives an answer
// without status.
func (f *filer) try(c *filing, entry *fleet.Process, limit time.Duration) {
	ctx, cancel := context.WithTimeout(f.t.Context(), limit)
	defer cancel()
	a, _ := f.caller.Once(ctx, entry.URL(), caller.Call{Service: "permit", Path: "file", Key: c.key, Body: c.key})
	c.tries = append(c.tries, a)
}

// settle resends a filing until its outcome is known: done, or unknown for
// good.
func (f *filer) settle(c *filing, entry *fleet.Process) {
	deadline := time.Now().Add(waitLong)
	for time.Now().Before(deadline) {
		f.try(c, entry, waitLong)
		a := c.last()
		if a.Status() == 200 || a.Ran() == "unknown" && a.Code() != "busy" && a.Status() != 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Errorf("%s: no outcome, last %d %s %s", c.key, c.last().Status(), c.last().Code(), c.last().Ran())
}

// burst starts filings spread over a time and lets during happen in it; then
// every filing is settled through another instance.
func (f *filer) burst(name string, count int, spread time.Duration, first, second *fleet.Process, during func()) []*filing {
	filings := make([]*filing, count)
	var group sync.WaitGroup
	for i := range filings {
		filings[i] = &filing{key: fmt.Sprint(name, "-", i)}
		group.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(count))
			f.try(filings[i], first, patience)
			f.settle(filings[i], second)
		})
	}
	time.Sleep(spread / 2)
	during()
	group.Wait()
	return filings
}

// check compares what the callers were told with what the service ran.
func (f *filer) check(filings []*filing) (done, unknown int) {
	f.t.Helper()
	var records []stand.Record
	if err := f.History(f.t.Context(), "permit1", &records); err != nil {
		f.t.Fatal(err)
	}
	runs := make(map[string]int)
	for _, r := range records {
		if r.Kind == stand.RecordRun {
			runs[r.Body]++
		}
	}
	for _, c := range filings {
		if runs[c.key] > 1 {
			f.t.Errorf("%s ran %d times", c.key, runs[c.key])
		}
		body := ""
		for _, a := range c.tries {
			switch {
			case a.Status() == 200 && body == "":
				body = string(a.Body())
			case a.Status() == 200 && body != string(a.Body()):
				f.t.Errorf("%s: answers %q and %q", c.key, body, a.Body())
			}
		}
		switch {
		case body != "":
			done++
			if runs[c.key] == 0 {
				f.t.Errorf("%s was answered and didn't run", c.key)
			}
		case c.last().Ran() == "unknown":
			unknown++
		case c.last().Ran() == "not_run" && runs[c.key] > 0:
			f.t.Errorf("%s was refused as not_run and ran", c.key)
		}
	}
	return done, unknown
}

// P5, P6: the holder is killed while its calls are at every step; each is
// resent through another instance, also while the holder starts again.
func TestOnceHolderKilled(t *testing.T) {
	f := startFiler(t, false)
	e := f.Entries()
	all := make([]*filing, 0, 80)
	for round := range 2 {
		all = append(all, f.burst(fmt.Sprint("kill", round), 40, 200*time.Millisecond, e[0], e[1], e[0].Kill)...)
		if err := e[0].Start(); err != nil {
			t.Fatal(err)
		}
		f.wait("the holder's start", func() error { return f.InForce(t.Context(), e[0], 1) })
	}
	done, unknown := f.check(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
	if done == 0 || unknown == 0 {
		t.Error("the kill missed some of the steps")
	}
}

// P5, P6: the holder is stopped while its calls are at every step, counts as
// lost, and wakes up when the calls were resent elsewhere.
func TestOnceHolderPaused(t *testing.T) {
	f := startFiler(t, false)
	e := f.Entries()
	all := f.burst("pause", 40, 200*time.Millisecond, e[0], e[1], func() {
		e[0].Pause()
		time.Sleep(2500 * time.Millisecond)
		e[0].Resume()
	})
	time.Sleep(200 * time.Millisecond)
	done, unknown := f.check(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
}

// P6: the leader of the ledger is killed, then the next one stopped, while
// calls are at every step.
func TestOnceLedgerLeaderLost(t *testing.T) {
	f := startFiler(t, false)
	e := f.Entries()
	old := f.leader()
	all := f.burst("killed", 40, 200*time.Millisecond, e[0], e[1], old.Kill)
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	f.wait("the old leader to follow", func() error { _, err := f.status(old); return err })
	next := f.leader()
	all = append(all, f.burst("stopped", 40, 200*time.Millisecond, e[0], e[2], next.Pause)...)
	next.Resume()
	done, unknown := f.check(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
	if done < len(all)/2 {
		t.Errorf("only %d of %d done", done, len(all))
	}
}

// P6: the leader of the ledger loses its disk while calls are at every step,
// and comes back as a new member.
func TestOnceDiskLost(t *testing.T) {
	f := startFiler(t, false)
	e := f.Entries()
	old := f.leader()
	all := f.burst("disk", 40, 200*time.Millisecond, e[0], e[1], func() {
		old.Kill()
		if err := os.RemoveAll(old.Folder()); err != nil {
			t.Error(err)
		}
		if err := old.Start(); err != nil {
			t.Error(err)
		}
	})
	done, unknown := f.check(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
	if done < len(all)/2 {
		t.Errorf("only %d of %d done", done, len(all))
	}
}

// P6: the service runs the call and its answer is lost: nobody can tell, and
// nobody sends it again. One account never sees the answer of another.
func TestOnceAnswerLost(t *testing.T) {
	f := startFiler(t, false)
	e := f.Entries()
	if err := f.Fault(t.Context(), fleet.Fault{Target: "permit1", Kind: string(stand.Lose), Count: 3}); err != nil {
		t.Fatal(err)
	}
	all := f.burst("lost", 6, 50*time.Millisecond, e[0], e[1], func() {})
	done, unknown := f.check(all)
	if done != 3 || unknown != 3 {
		t.Errorf("%d done, %d unknown, want 3 and 3", done, unknown)
	}
	f.runAt(f.leader(), "declare account other token other-token")
	other := caller.New("other-token")
	defer other.Close()
	f.wait("the other account", func() error {
		a, err := other.Once(t.Context(), e[2].URL(), caller.Call{Service: "permit", Path: "file", Key: all[0].key, Body: "of another"})
		if err == nil && a.Status() != 200 {
			err = fmt.Errorf("status %d", a.Status())
		}
		return err
	})
}

// P6: an instance is cut off from the ledger while its calls are at every
// step, both ways and one way.
func TestOnceHolderCutOff(t *testing.T) {
	f := startFiler(t, true)
	e := f.Entries()
	all := make([]*filing, 0, 90)
	for _, kind := range []stand.Kind{stand.Cut, stand.CutUp, stand.CutDown} {
		all = append(all, f.burst(string(kind), 30, 200*time.Millisecond, e[0], e[1], func() {
			if err := f.Cut(t.Context(), e[0].Name(), string(kind)); err != nil {
				t.Error(err)
			}
			time.Sleep(1500 * time.Millisecond)
			if err := f.Cut(t.Context(), e[0].Name(), string(stand.Heal)); err != nil {
				t.Error(err)
			}
		})...)
	}
	done, unknown := f.check(all)
	t.Logf("%d done, %d unknown of %d", done, unknown, len(all))
}
