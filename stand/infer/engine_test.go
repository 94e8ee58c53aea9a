package infer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/config"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		os.Exit(code)
	}), goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

func engineConfig(name string, role state.Role) config.Engine {
	return config.Engine{
		Name: name, Listen: "127.0.0.1:0", Model: "spec", Revision: "1", Role: role, Fenced: true,
		PrefillRate: 1e6, Step: boot.Duration(time.Millisecond), StepPerStream: boot.Duration(10 * time.Microsecond),
		MaxBatch: 8, KVTokens: 100000, CacheTokens: 20000, TransferRate: 1e8, ChangeTime: boot.Duration(50 * time.Millisecond),
		LoadTime: boot.Duration(50 * time.Millisecond), Seed: 1, CrashMark: "crash-now",
	}
}

func startEngine(t *testing.T, c config.Engine) (e *Engine, url string) {
	t.Helper()
	e, stop := New(context.Background(), c, "")
	cleanup, err := e.Listen(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cleanup(); stop() })
	return e, "http://" + e.gate.Addr().String()
}

func post(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	b, _ := json.Marshal(body)
	r, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Body.Close() })
	return r
}

// readStream returns the events of a stream and whether its end marker came.
func readStream(t *testing.T, r *http.Response) (events []engine.Event, complete bool) {
	t.Helper()
	s := bufio.NewScanner(r.Body)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engine.EndOfStream {
			return events, true
		}
		var e engine.Event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			t.Fatal(err)
		}
		events = append(events, e)
	}
	return events, false
}

func checkTokens(t *testing.T, req engine.Request, events []engine.Event) {
	t.Helper()
	if len(events) != req.MaxTokens-req.DeliveredTokens {
		t.Fatalf("%d tokens, want %d", len(events), req.MaxTokens-req.DeliveredTokens)
	}
	for i, e := range events {
		want := inject.Token(req.Model, req.Prompt, req.Seed, req.DeliveredTokens+i)
		if e.Token != req.DeliveredTokens+i || e.Choices[0].Text != want || e.Attempt != req.Attempt {
			t.Fatalf("event %d: %+v, want %q", i, e, want)
		}
	}
}

func TestStreamAndResume(t *testing.T) {
	_, url := startEngine(t, engineConfig("a", state.RoleMixed))
	req := engine.Request{Model: "spec", Prompt: "one two", MaxTokens: 20, Seed: 7, Attempt: "x", PromptTokens: 3000}
	for _, resume := range []int{0, 12} {
		req.DeliveredTokens = resume
		events, complete := readStream(t, post(t, url+engine.PathComplete, req))
		if !complete {
			t.Fatal("no end marker")
		}
		checkTokens(t, req, events)
	}
}

func TestTransferBetweenEngines(t *testing.T) {
	source, from := startEngine(t, engineConfig("p", state.RolePrefill))
	target, to := startEngine(t, engineConfig("d", state.RoleDecode))
	req := engine.Request{Model: "spec", Prompt: "p", MaxTokens: 5, Attempt: "y", PromptTokens: 4000, BlockHashes: []string{"a", "b"}}
	if r := post(t, from+engine.PathComplete, req); r.StatusCode != http.StatusConflict {
		t.Fatalf("prefill engine: status %d for a completion, want 409", r.StatusCode)
	}
	var p engine.PrefillResult
	if err := json.NewDecoder(post(t, from+engine.PathPrefill, req).Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	req.KVSource, req.KVHandle = from, p.KVHandle
	events, complete := readStream(t, post(t, to+engine.PathComplete, req))
	if !complete {
		t.Fatal("no end marker")
	}
	checkTokens(t, req, events)
	source.runOnLoop(func(time.Time) {
		if source.batch.usedTokens != 0 || len(source.jobs) != 0 || source.batch.cache.matchedTokens(req.BlockHashes) != 4000 {
			t.Errorf("after export: %d tokens used, %d jobs", source.batch.usedTokens, len(source.jobs))
		}
	})
	target.runOnLoop(func(time.Time) {
		if target.batch.usedTokens != 0 || target.batch.cache.tokens() != 0 {
			t.Errorf("after the stream: %d tokens used; the prompt was computed again", target.batch.usedTokens)
		}
	})
}

func TestOrders(t *testing.T) {
	order := func(number, fence uint64, r state.Role) state.Order {
		return state.Order{Number: number, FencingToken: fence, Role: r}
	}
	for _, fenced := range []bool{true, false} {
		c := engineConfig("o", state.RoleMixed)
		c.Fenced = fenced
		e, _ := startEngine(t, c)
		for _, step := range []struct {
			order              state.Order
			accepted, conflict bool
		}{
			{order(5, 2, state.RoleDecode), true, false},
			{order(5, 2, state.RoleDecode), true, false},     // resent
			{order(6, 2, state.RolePrefill), !fenced, true},  // while another is executed
			{order(4, 1, state.RoleMixed), !fenced, !fenced}, // outdated
			{order(7, 2, state.RoleDecode), true, false},     // after the change has ended
		} {
			if step.order.Number == 7 {
				waitChanged(t, e)
			}
			if got := e.submitOrder(step.order); got.Accepted != step.accepted {
				t.Errorf("fenced %v, order %d: %+v", fenced, step.order.Number, got)
			}
			records := e.History().Records()
			if last := records[len(records)-1]; last.Conflict != step.conflict {
				t.Errorf("fenced %v, order %d: %+v", fenced, step.order.Number, last)
			}
		}
	}
}

func waitChanged(t *testing.T, e *Engine) {
	t.Helper()
	for range 500 {
		changing := true
		e.runOnLoop(func(time.Time) { changing = e.status.Changing })
		if !changing {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("the change didn't end")
}

func TestRoleChangeCutsStreamsAndCrashLastsUntilRestart(t *testing.T) {
	e, url := startEngine(t, engineConfig("c", state.RoleMixed))
	r := post(t, url+engine.PathComplete, engine.Request{Model: "spec", Prompt: "p", MaxTokens: 5000, Attempt: "long"})
	e.submitOrder(state.Order{Number: 1, FencingToken: 1, Role: state.RoleDecode})
	if _, complete := readStream(t, r); complete {
		t.Fatal("a role change didn't cut the stream")
	}
	if r := post(t, url+engine.PathComplete, engine.Request{Prompt: "q"}); r.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("status %d during the change, want 503", r.StatusCode)
	}
	waitChanged(t, e)
	b := bytes.NewReader([]byte(`{"prompt":"please crash-now"}`))
	if _, err := http.Post(url+engine.PathComplete, "application/json", b); err == nil {
		t.Fatal("a request that crashes the engine got an answer")
	}
	if _, err := http.Get(url + engine.PathState); err == nil {
		t.Fatal("a crashed engine answers")
	}
	if err := e.InjectFault(inject.Fault{Kind: inject.Restart}); err != nil {
		t.Fatal(err)
	}
	if r, err := http.Get(url + engine.PathState); err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("after the restart: %v", err)
	}
}

func TestFaultsInStreams(t *testing.T) {
	e, url := startEngine(t, engineConfig("f", state.RoleMixed))
	req := engine.Request{Model: "spec", Prompt: "p", MaxTokens: 30, Attempt: "t"}
	_ = e.InjectFault(inject.Fault{Kind: inject.Truncate})
	if events, complete := readStream(t, post(t, url+engine.PathComplete, req)); complete || len(events) != 15 {
		t.Fatalf("truncated to %d tokens, complete %v", len(events), complete)
	}
	_ = e.InjectFault(inject.Fault{Kind: inject.Duplicate, Count: 3})
	if events, _ := readStream(t, post(t, url+engine.PathComplete, req)); len(events) != 33 {
		t.Fatalf("%d events with 3 duplicates", len(events))
	}
	_ = e.InjectFault(inject.Fault{Kind: inject.StaleEvent})
	req.Attempt = "u"
	if events, _ := readStream(t, post(t, url+engine.PathComplete, req)); events[0].Attempt != "t" {
		t.Fatalf("first event isn't of the earlier attempt: %+v", events[0])
	}
}

// TestBatchSharesStepTime checks that streams decode in parallel: 8 streams of
// 50 tokens take 50 steps of a batch of 8, not 400 steps.
func TestBatchSharesStepTime(t *testing.T) {
	b := newBatch(engineConfig("s", state.RoleMixed), state.RoleMixed)
	b.deliver = func(*job) {}
	b.onEnded = func(*job) {}
	for range 8 {
		b.submit(&job{contextTokens: 10, endToken: 51, events: make(chan tokenEvent, 1), done: make(chan struct{})})
	}
	total := time.Duration(0)
	now := time.Unix(0, 0)
	for d := b.beginIteration(now); d > 0; d = b.beginIteration(now) {
		now = now.Add(d)
		total += d
		b.finishIteration(now)
	}
	if total < 50*time.Millisecond || total > 60*time.Millisecond || b.usedTokens != 0 {
		t.Fatalf("took %s, %d tokens of memory still used", total, b.usedTokens)
	}
}

func TestCacheEvents(t *testing.T) {
	c := newCache(4*engine.BlockTokens, 0, 1)
	start := time.Unix(0, 0)
	c.add(start, []string{"a", "b", "c"})
	c.add(start.Add(time.Second), []string{"d", "e"})
	if n := c.matchedTokens([]string{"b"}); n == 0 {
		t.Fatal("b was evicted before a")
	}
	page := c.eventPage(1, start)
	if page.Snapshot || page.Seq != 3 || len(page.Events) != 2 {
		t.Fatalf("events are visible too early: %+v", page)
	}
	if page = c.eventPage(0, start); !page.Snapshot || len(page.Events) != 4 {
		t.Fatalf("not a snapshot of 4 blocks: %+v", page)
	}
}
