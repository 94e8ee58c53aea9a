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

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// steadyLoad sends chats and lookups without pause. It caches the instances'
// addresses as long as callers may (addressTTL). Any failed request fails the
// test.
type steadyLoad struct {
	*deployment
	requests atomic.Int64
	done     chan struct{}
	once     sync.Once
	group    sync.WaitGroup
}

const addressTTL = 500 * time.Millisecond

func (s *deployment) startSteadyLoad(t *testing.T, count int) *steadyLoad {
	d := &steadyLoad{deployment: s, done: make(chan struct{})}
	t.Cleanup(d.close)
	for i := range count {
		d.group.Add(1)
		go func() {
			defer d.group.Done()
			d.run(t, i)
		}()
	}
	return d
}

func (d *steadyLoad) close() {
	d.once.Do(func() { close(d.done) })
	d.group.Wait()
}

func (d *steadyLoad) run(t *testing.T, i int) {
	random := rand.New(rand.NewSource(int64(i)))
	c := caller.New(d.CallerToken())
	defer c.Close()
	var urls []string
	var expiry time.Time
	for n := 0; ; n++ {
		select {
		case <-d.done:
			return
		default:
		}
		if time.Now().After(expiry) {
			urls, expiry = d.addresses(random), time.Now().Add(addressTTL)
		}
		if len(urls) == 0 {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.send(t, c, urls[random.Intn(len(urls))], fmt.Sprintf("%d/%d", i, n), n%4 == 0)
		d.requests.Add(1)
	}
}

// addresses returns the addresses that the first answering instance lists, nil
// if none answers.
func (d *steadyLoad) addresses(random *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, i := range random.Perm(len(d.Entries())) {
		if urls, err := d.Addresses(ctx, d.Entries()[i]); err == nil {
			return urls
		}
	}
	return nil
}

func (d *steadyLoad) send(t *testing.T, c *caller.Caller, url, name string, lookup bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	sent := time.Now()
	if lookup {
		a, err := c.CallPlain(ctx, url, caller.PlainCall{Service: "lookup", Path: name, Body: name})
		if err != nil || a.Status() != 200 {
			t.Errorf("lookup %s at %s, %v: %v, status %d, %s", name, url, sent.Format(time.StampMilli), err, a.Status(), a.Body())
		}
		return
	}
	chat := caller.Chat{Service: "counter", Prompt: "question " + name, Tokens: 20, Seed: 1}
	a, err := c.Chat(ctx, url, chat)
	if err := checkAnswer(chat, a, err); err != nil {
		t.Errorf("question %s at %s, %v: %v", name, url, sent.Format(time.StampMilli), err)
	}
}

func lookupServers() []fleet.PlainServer {
	return []fleet.PlainServer{
		{Name: "lookup1", Centre: "north", Service: "lookup", ExtraSettings: map[string]any{"time": "10ms"}},
		{Name: "lookup2", Centre: "north", Service: "lookup", ExtraSettings: map[string]any{"time": "10ms"}},
	}
}

// TestStopOfEachInstanceCutsNothing stops each entry instance in turn under
// load, while callers still use addresses that they cached earlier. No request
// is cut, and each instance exits with code 0.
func TestStopOfEachInstanceCutsNothing(t *testing.T) {
	m := state.RoleMixed
	s := startDeployment(t, fleet.Options{
		Entries:       3,
		Engines:       fastEngines(m, m, m),
		PlainServers:  lookupServers(),
		EntrySettings: map[string]any{"address": map[string]any{"life": addressTTL.String()}, "stop": map[string]any{"grace": "10s"}},
	})
	d := s.startSteadyLoad(t, 8)
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
	t.Logf("%d requests", d.requests.Load())
}

// TestStopOfBackendServersCutsNothing changes an engine's role, drains a server
// and withdraws an engine under load. No request is cut.
func TestStopOfBackendServersCutsNothing(t *testing.T) {
	m := state.RoleMixed
	s := startDeployment(t, fleet.Options{
		Entries:        2,
		Engines:        append(fastEngines(m, m, m), fastEngines(m, m, m, state.RolePrefill)[3]),
		PlainServers:   lookupServers(),
		EntrySettings:  map[string]any{"address": map[string]any{"life": addressTTL.String()}},
		KeeperSettings: map[string]any{"plan": map[string]any{"policy": "fixed"}},
	})
	d := s.startSteadyLoad(t, 8)
	// These chats run longer than a change may wait for them: they are moved to
	// other engines, not cut.
	wait := s.startChats(t, 9, func(i int) caller.Chat {
		return caller.Chat{Prompt: fmt.Sprint("letter ", i), Tokens: 1000, Seed: 2}
	})
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	s.runCommand(t, "assign engine engine1 role decode")
	s.waitChanged(t, "engine1", begin)
	s.runCommand(t, "drain server lookup1")
	s.runCommand(t, "withdraw engine engine2")
	time.Sleep(3 * time.Second)
	wait()
	d.close()
	for _, name := range []string{"engine1", "engine2", "engine3"} {
		if n := s.countRecords(t, name, inject.RecordAborted, begin); n > 0 {
			t.Errorf("%s cut %d requests", name, n)
		}
	}
	t.Logf("%d requests", d.requests.Load())
}

func (s *deployment) runCommand(t *testing.T, text string) uint64 {
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

func (s *deployment) waitChanged(t *testing.T, engine string, after time.Time) {
	t.Helper()
	err := fleet.Wait(t.Context(), 4500*time.Millisecond, func() error {
		if s.countRecords(t, engine, inject.RecordApplied, after) == 0 {
			return fmt.Errorf("%s has not changed", engine)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestStopReachesPartitionedInstance drains servers while an entry instance is
// partitioned from the keepers. After a few seconds it sends a draining server no
// new work. It keeps serving while it can ask another instance for the state;
// once it reaches none, it refuses calls as not_run. entry1 is the root of the
// distribution tree, so it has no parent to learn from.
func TestStopReachesPartitionedInstance(t *testing.T) {
	s := startDeployment(t, fleet.Options{
		Entries:      2,
		ProxyLinks:   true,
		PlainServers: lookupServers(),
	})
	lookup := func(i int) *caller.Answer {
		a, err := s.caller.CallPlain(t.Context(), s.Entries()[i].URL(), caller.PlainCall{Service: "lookup", Path: "x", Body: "x"})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if err := s.SetPartition(t.Context(), "entry1", "cut"); err != nil {
		t.Fatal(err)
	}
	s.runCommand(t, "drain server lookup1")
	time.Sleep(3 * time.Second)
	begin := time.Now()
	for range 20 {
		if a := lookup(0); a.Status() != 200 {
			t.Fatalf("with another instance reachable: status %d, %s", a.Status(), a.Body())
		}
	}
	s.Entries()[1].Pause()
	s.runCommand(t, "drain server lookup2")
	time.Sleep(5 * time.Second)
	after := time.Now()
	for range 5 {
		if a := lookup(0); a.Code() != "stale" || a.Execution() != "not_run" {
			t.Errorf("with no instance reachable: status %d, code %q, %s", a.Status(), a.Code(), strings.TrimSpace(string(a.Body())))
		}
	}
	s.Entries()[1].Resume()
	if n := s.countRecords(t, "lookup1", inject.RecordExecuted, begin); n > 0 {
		t.Errorf("draining server lookup1 ran %d calls", n)
	}
	if n := s.countRecords(t, "lookup2", inject.RecordExecuted, after); n > 0 {
		t.Errorf("draining server lookup2 ran %d calls of an isolated instance", n)
	}
}

// TestStopReachesPausedInstance drains a server while an entry instance is
// paused with requests in progress. When the instance resumes, it sends that
// server no work, not even the requests it had accepted before.
func TestStopReachesPausedInstance(t *testing.T) {
	s := startDeployment(t, fleet.Options{Entries: 2, PlainServers: lookupServers()})
	var group sync.WaitGroup
	lookup := func() {
		defer group.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		defer cancel()
		_, _ = s.caller.CallPlain(ctx, s.Entries()[0].URL(), caller.PlainCall{Service: "lookup", Path: "x", Body: "x"})
	}
	burst := func() {
		for range 40 {
			group.Add(1)
			go lookup()
			time.Sleep(time.Millisecond)
		}
	}
	burst()
	s.Entries()[0].Pause()
	burst()
	s.runCommand(t, "drain server lookup1")
	time.Sleep(4500 * time.Millisecond)
	begin := time.Now()
	s.Entries()[0].Resume()
	burst()
	group.Wait()
	if n := s.countRecords(t, "lookup1", inject.RecordExecuted, begin); n > 0 {
		t.Errorf("draining server lookup1 ran %d calls", n)
	}
}
