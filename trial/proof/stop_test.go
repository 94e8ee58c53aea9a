package proof_test

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// desk asks counter questions and looks things up without pause, from
// addresses that it keeps as long as it may. A request that fails in any way
// is a failure of the test.
type desk struct {
	*site
	asked atomic.Int64
	stop  chan struct{}
	once  sync.Once
	group sync.WaitGroup
}

const addressLife = 500 * time.Millisecond

func (s *site) desk(t *testing.T, count int) *desk {
	d := &desk{site: s, stop: make(chan struct{})}
	t.Cleanup(d.close)
	for i := range count {
		d.group.Add(1)
		go func() {
			defer d.group.Done()
			d.work(t, i)
		}()
	}
	return d
}

func (d *desk) close() {
	d.once.Do(func() { close(d.stop) })
	d.group.Wait()
}

func (d *desk) work(t *testing.T, i int) {
	random := rand.New(rand.NewSource(int64(i)))
	c := caller.New(d.CallerToken())
	defer c.Close()
	var urls []string
	var until time.Time
	for n := 0; ; n++ {
		select {
		case <-d.stop:
			return
		default:
		}
		if time.Now().After(until) {
			urls, until = d.addresses(random), time.Now().Add(addressLife)
		}
		if len(urls) == 0 {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.ask(t, c, urls[random.Intn(len(urls))], fmt.Sprintf("%d/%d", i, n), n%4 == 0)
		d.asked.Add(1)
	}
}

// addresses asks any instance that answers.
func (d *desk) addresses(random *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, i := range random.Perm(len(d.Entries())) {
		if urls, err := d.Addresses(ctx, d.Entries()[i]); err == nil {
			return urls
		}
	}
	return nil
}

func (d *desk) ask(t *testing.T, c *caller.Caller, url, name string, lookup bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	at := time.Now()
	if lookup {
		a, err := c.Once(ctx, url, caller.Call{Service: "lookup", Path: name, Body: name})
		if err != nil || a.Status() != 200 {
			t.Errorf("lookup %s at %s, %v: %v, status %d, %s", name, url, at.Format(time.StampMilli), err, a.Status(), a.Body())
		}
		return
	}
	chat := caller.Chat{Service: "counter", Prompt: "question " + name, Tokens: 20, Seed: 1}
	a, err := c.Chat(ctx, url, chat)
	if err := checkWhole(chat, a, err); err != nil {
		t.Errorf("question %s at %s, %v: %v", name, url, at.Format(time.StampMilli), err)
	}
}

func lookups() []fleet.Plain {
	return []fleet.Plain{
		{Name: "lookup1", Centre: "north", Service: "lookup", Extra: map[string]any{"time": "10ms"}},
		{Name: "lookup2", Centre: "north", Service: "lookup", Extra: map[string]any{"time": "10ms"}},
	}
}

// P8: each entry instance is stopped in turn while callers use it, some from
// addresses that they got before. No request is cut, and each instance exits
// with code 0.
func TestStopOfEachInstanceCutsNothing(t *testing.T) {
	m := state.RoleMixed
	s := startSite(t, fleet.Options{
		Entries: 3,
		Engines: quick(m, m, m),
		Plains:  lookups(),
		Entry:   map[string]any{"address": map[string]any{"life": addressLife.String()}, "stop": map[string]any{"grace": "10s"}},
	})
	d := s.desk(t, 8)
	for _, p := range s.Entries() {
		if err := p.Stop(10 * time.Second); err != nil {
			t.Error(err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		err := fleet.Wait(t.Context(), 5*time.Second, func() error {
			_, err := s.Addresses(t.Context(), p)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	d.close()
	t.Logf("%d requests", d.asked.Load())
}

// P2: a role change, a drain and a withdrawal under steady short calls cut
// none of them.
func TestStopOfBackendServersCutsNothing(t *testing.T) {
	m := state.RoleMixed
	s := startSite(t, fleet.Options{
		Entries: 2,
		Engines: append(quick(m, m, m), quick(m, m, m, state.RolePrefill)[3]),
		Plains:  lookups(),
		Entry:   map[string]any{"address": map[string]any{"life": addressLife.String()}},
		Keep:    map[string]any{"plan": map[string]any{"policy": "fixed"}},
	})
	d := s.desk(t, 8)
	// Letters run longer than a change may wait: they are moved, not cut.
	wait := s.chats(t, 9, func(i int) caller.Chat {
		return caller.Chat{Prompt: fmt.Sprint("letter ", i), Tokens: 1000, Seed: 2}
	})
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	s.run(t, "assign engine engine1 role decode")
	s.waitChanged(t, "engine1", begin)
	s.run(t, "drain server lookup1")
	s.run(t, "withdraw engine engine2")
	time.Sleep(3 * time.Second)
	wait()
	d.close()
	for _, name := range []string{"engine1", "engine2", "engine3"} {
		if n := s.count(t, name, stand.RecordCut, begin); n > 0 {
			t.Errorf("%s cut %d requests", name, n)
		}
	}
	t.Logf("%d requests", d.asked.Load())
}

func (s *site) run(t *testing.T, text string) uint64 {
	t.Helper()
	var version uint64
	err := fleet.Wait(t.Context(), 5*time.Second, func() error {
		r, err := s.Run(t.Context(), text)
		version = r.Version
		return err
	})
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return version
}

func (s *site) waitChanged(t *testing.T, engine string, after time.Time) {
	t.Helper()
	err := fleet.Wait(t.Context(), 4500*time.Millisecond, func() error {
		if s.count(t, engine, stand.RecordChanged, after) == 0 {
			return fmt.Errorf("%s has not changed", engine)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// P7: a server that leaves gets no new work after a few seconds, also from an
// instance that is cut off from control. While others can be asked, it goes
// on serving; when it hears nobody, it refuses as not run. The instance is
// the root of the tree, which has no parent to learn from.
func TestStopReachesAnInstanceThatIsCutOff(t *testing.T) {
	s := startSite(t, fleet.Options{
		Entries: 2,
		Links:   true,
		Plains:  lookups(),
	})
	ask := func(i int) *caller.Answer {
		a, err := s.caller.Once(t.Context(), s.Entries()[i].URL(), caller.Call{Service: "lookup", Path: "x", Body: "x"})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if err := s.Cut(t.Context(), "entry1", "cut"); err != nil {
		t.Fatal(err)
	}
	s.run(t, "drain server lookup1")
	time.Sleep(3 * time.Second)
	begin := time.Now()
	for range 20 {
		if a := ask(0); a.Status() != 200 {
			t.Fatalf("with another instance to ask: status %d, %s", a.Status(), a.Body())
		}
	}
	s.Entries()[1].Pause()
	s.run(t, "drain server lookup2")
	time.Sleep(5 * time.Second)
	after := time.Now()
	for range 5 {
		if a := ask(0); a.Code() != "stale" || a.Ran() != "not_run" {
			t.Errorf("with nobody to ask: status %d, code %q, %s", a.Status(), a.Code(), strings.TrimSpace(string(a.Body())))
		}
	}
	s.Entries()[1].Resume()
	if n := s.count(t, "lookup1", stand.RecordRun, begin); n > 0 {
		t.Errorf("a server that left ran %d calls", n)
	}
	if n := s.count(t, "lookup2", stand.RecordRun, after); n > 0 {
		t.Errorf("a server that left ran %d calls of an instance without control", n)
	}
}

// P7: an instance that was paused while a server left gives it no work when it
// goes on, not even the requests that it had taken before.
func TestStopReachesAnInstanceThatWasPaused(t *testing.T) {
	s := startSite(t, fleet.Options{Entries: 2, Plains: lookups()})
	var group sync.WaitGroup
	ask := func() {
		defer group.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		defer cancel()
		_, _ = s.caller.Once(ctx, s.Entries()[0].URL(), caller.Call{Service: "lookup", Path: "x", Body: "x"})
	}
	burst := func() {
		for range 40 {
			group.Add(1)
			go ask()
			time.Sleep(time.Millisecond)
		}
	}
	burst()
	s.Entries()[0].Pause()
	burst()
	s.run(t, "drain server lookup1")
	time.Sleep(4500 * time.Millisecond)
	begin := time.Now()
	s.Entries()[0].Resume()
	burst()
	group.Wait()
	if n := s.count(t, "lookup1", stand.RecordRun, begin); n > 0 {
		t.Errorf("a server that left ran %d calls", n)
	}
}
