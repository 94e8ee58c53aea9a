package route_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
)

var start = time.Unix(1_000_000, 0)

func engines(count int, role func(i int) state.Role) []state.Engine {
	list := make([]state.Engine, count)
	for i := range list {
		list[i] = state.Engine{
			Name: fmt.Sprintf("e%03d", i), URL: fmt.Sprint("http://", i), Centre: []string{"north", "south"}[i%2],
			Role: role(i), Model: "spec", Phase: state.PhaseServing,
		}
	}
	return list
}

func mixed(int) state.Role { return state.RoleMixed }

func split(i int) state.Role {
	return []state.Role{state.RolePrefill, state.RoleDecode}[i%2]
}

// After any sequence of updates, probes and reports, Pick returns no engine
// that isn't serving, is dead or is to be avoided, and finds a usable one if
// there is one.
func TestPickChoosesUsableEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := route.New("entry1", "north", route.PolicyCache)
		list := engines(rapid.IntRange(1, 40).Draw(t, "engines"), mixed)
		r.Update(list)
		dead := map[string]bool{}
		now, serial := start, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "engine")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				list[i].Phase = rapid.SampledFrom([]state.Phase{state.PhaseServing, state.PhaseLeaving, state.PhaseChanging}).Draw(t, "phase")
				r.Update(list)
			case 1:
				dead[list[i].Name] = rapid.Bool().Draw(t, "dead")
				r.RecordProbe(now, list[i].Name, !dead[list[i].Name])
			case 2:
				r.RecordLoad(list[i].Name, engine.LoadReport{MeasuredAt: now, PrefillQueueTokens: rapid.IntRange(0, 1e6).Draw(t, "queue"), MaxBatch: 4})
			default:
				serial++
				req := route.Request{Model: "spec", Fingerprint: fmt.Sprint(serial), PromptTokens: 100, Avoid: []string{list[i].Name}}
				usable := func(e state.Engine) bool {
					return e.Phase == state.PhaseServing && !dead[e.Name] && e.Name != list[i].Name
				}
				p, d, err := r.Pick(now, &req)
				if err != nil {
					if len(list) <= route.SubsetSize && len(r.Engines()) > 0 && slices.ContainsFunc(list, usable) {
						t.Fatalf("no engine chosen although one is usable: %+v", d)
					}
					continue
				}
				j := slices.IndexFunc(list, func(e state.Engine) bool { return e.Name == p.Decode.Name })
				if !usable(list[j]) || d.Decode != p.Decode.Name {
					t.Fatalf("chose an unusable engine or recorded another one: %+v", list[j])
				}
				r.RecordSent(now, fmt.Sprint(serial), &req, &p)
			}
		}
	})
}

// Copies of a request that arrive at different instances are sent to no more
// than two engines of a role, whatever loads the instances know.
func TestCopiesOfARequestUseTwoEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(2, 20).Draw(t, "engines"), mixed)
		req := route.Request{Model: "spec", Fingerprint: rapid.String().Draw(t, "fingerprint"), PromptTokens: 10}
		used := map[string]bool{}
		for i := range 8 {
			r := route.New(fmt.Sprint("entry", i), "north", route.PolicyCache)
			r.Update(list)
			for _, e := range list {
				r.RecordLoad(e.Name, engine.LoadReport{MeasuredAt: start, PrefillQueueTokens: rapid.IntRange(0, 1e6).Draw(t, "queue")})
			}
			p, _, err := r.Pick(start, &req)
			if err != nil {
				t.Fatal(err)
			}
			used[p.Decode.Name] = true
		}
		if len(used) > 2 {
			t.Fatalf("more than two engines used: %v", used)
		}
	})
}

func TestSentRequestsCountUntilReported(t *testing.T) {
	r := route.New("entry1", "north", route.PolicyLoad)
	r.Update(engines(2, mixed))
	req := route.Request{Model: "spec", Fingerprint: "x", PromptTokens: 10_000}
	first, _, _ := r.Pick(start, &req)
	r.RecordSent(start, "a", &req, &first)
	second, _, _ := r.Pick(start, &req)
	if second.Decode.Name == first.Decode.Name {
		t.Fatal("a request sent by this instance doesn't count as load")
	}
	r.RecordLoad(first.Decode.Name, engine.LoadReport{MeasuredAt: start.Add(time.Second)})
	r.RecordLoad(second.Decode.Name, engine.LoadReport{MeasuredAt: start.Add(time.Second), PrefillQueueTokens: 5000})
	if third, _, _ := r.Pick(start.Add(time.Second), &req); third.Decode.Name != first.Decode.Name {
		t.Fatal("a sent request still counts after a report that includes it")
	}
}

func TestLongPromptsAreSplitAndFollowTheCache(t *testing.T) {
	r := route.New("entry1", "north", route.PolicyCache)
	r.Update(engines(20, split))
	text := strings.Repeat("facade cladding ", 4000)
	blocks := route.BlockHashes("spec", text)
	if len(blocks) != len(text)/route.BytesPerToken/engine.BlockTokens {
		t.Fatalf("%d blocks", len(blocks))
	}
	r.ApplyCacheEvents("e006", engine.CacheEvents{Seq: 1, Snapshot: true, Events: addEvents(0, blocks[:5]...)})
	req := route.Request{Model: "spec", Fingerprint: "x", PromptTokens: route.EstimateTokens(text), BlockHashes: blocks}
	p, d, err := r.Pick(start, &req)
	if err != nil || p.Prefill.Name != "e006" || p.CachedTokens != 5*engine.BlockTokens || p.Decode.Role != state.RoleDecode {
		t.Fatalf("plan %+v, decision %+v, %v", p, d, err)
	}
	short := route.Request{Model: "spec", Fingerprint: "y", PromptTokens: 100}
	if p, _, _ = r.Pick(start, &short); p.Split() {
		t.Fatal("a short prompt went to a prefill engine")
	}
}

// Decode engines prefill short prompts only within the budget for them.
func TestShortPromptsStayWithinTheirBudget(t *testing.T) {
	r := route.New("entry1", "north", route.PolicyCache)
	r.Update(engines(2, split))
	unsplit := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		req := route.Request{Model: "spec", Fingerprint: fmt.Sprint(i), PromptTokens: 500}
		p, _, err := r.Pick(now, &req)
		if err != nil {
			t.Fatal(err)
		}
		r.RecordSent(now, fmt.Sprint(i), &req, &p)
		if !p.Split() {
			unsplit++
		}
		r.RecordDone(fmt.Sprint(i), p.Decode.Name)
		r.RecordDone(fmt.Sprint(i), p.Prefill.Name)
	}
	// The budget is 2,000 tokens in one second and a burst of 1,400.
	if unsplit < 5 || unsplit > 7 {
		t.Fatalf("%d of 100 short prompts on the decode engine", unsplit)
	}
}

func addEvents(first uint64, blocks ...string) []engine.CacheEvent {
	list := make([]engine.CacheEvent, 0, len(blocks))
	for i, p := range blocks {
		list = append(list, engine.CacheEvent{Seq: first + uint64(i) + 1, Added: true, Block: p})
	}
	return list
}

// Whichever events are lost, the index never contains a block that the cache
// doesn't hold at the newest event read.
func TestPrefixIndexDropsRemovedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p route.PrefixIndex
		cached := map[string]bool{}
		var events []engine.CacheEvent
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			block := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "block")
			cached[block] = !cached[block]
			events = append(events, engine.CacheEvent{Seq: uint64(len(events) + 1), Added: cached[block], Block: block})
			if !rapid.Bool().Draw(t, "read") {
				continue
			}
			page := engine.CacheEvents{Seq: uint64(len(events))}
			if p.Seq() == 0 {
				page.Snapshot = true
				for block, isCached := range cached {
					if isCached {
						page.Events = append(page.Events, engine.CacheEvent{Seq: page.Seq, Added: true, Block: block})
					}
				}
			} else {
				for _, e := range events[p.Seq():] {
					if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
						page.Events = append(page.Events, e)
					}
				}
			}
			p.Apply(page)
			for block, isCached := range cached {
				if p.CachedBlocks([]string{block}) == 1 && !isCached {
					t.Fatalf("the index contains block %s, which was removed", block)
				}
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := route.New("entry1", "north", route.PolicyCache)
			r.Update(engines(n, split))
			requests := make([]route.Request, 1000)
			blocks := route.BlockHashes("spec", strings.Repeat("facade cladding ", 4000))
			for i := range requests {
				requests[i] = route.Request{Model: "spec", Fingerprint: fmt.Sprint(i), PromptTokens: 2000, BlockHashes: blocks}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, err := r.Pick(start, &requests[i%len(requests)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// An engine may report blocks of its cache without end.
func TestPrefixIndexIsBounded(t *testing.T) {
	var p route.PrefixIndex
	const pages, perPage = 30, 1000
	var first []string
	for page := range uint64(pages) {
		events := engine.CacheEvents{Seq: (page + 1) * perPage}
		for i := range uint64(perPage) {
			seq := page*perPage + i + 1
			events.Events = append(events.Events, engine.CacheEvent{Seq: seq, Added: true, Block: strconv.FormatUint(seq, 16)})
			if i == 0 {
				first = append(first, events.Events[0].Block)
			}
		}
		p.Apply(events)
	}
	if n := p.CachedBlocks(first); n == 0 || n == pages || p.Seq() != pages*perPage {
		t.Errorf("blocks of %d of %d pages, up to event %d", n, pages, p.Seq())
	}
	p.Apply(engine.CacheEvents{Snapshot: true, Events: []engine.CacheEvent{{Added: true, Block: strings.Repeat("x", 1<<20)}}})
	if p.CachedBlocks([]string{strings.Repeat("x", 1<<20)}) != 0 {
		t.Error("a name of 1 MiB is kept")
	}
}
