package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// knowingBroker finds the origins that it holds, and keeps those that are shared.
type knowingBroker struct {
	Broker
	origins []proto.StreamOrigin
	shared  map[string][]proto.StreamOrigin // by link address
}

func (b *knowingBroker) Share(link string, list []proto.StreamOrigin) {
	if b.shared == nil {
		b.shared = make(map[string][]proto.StreamOrigin)
	}
	b.shared[link] = append(b.shared[link], list...)
}

func (b *knowingBroker) Find(_ context.Context, _ []string, id string) *proto.StreamOrigin {
	for _, o := range b.origins {
		if o.ID == id {
			return &o
		}
	}
	return nil
}

const (
	firstHalf  = `chunks "id: 1\ndata: a\n\nid: 2\nda"`
	secondHalf = `chunks "id: 2\ndata: b\n\n"`
	whole      = `chunks "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"`
)

// buildsOf returns the builds of the servers that were asked, in order.
func buildsOf(b *scriptedBackend) string {
	list := make([]string, len(b.servers))
	for i, name := range b.servers {
		list[i], _, _ = strings.Cut(name, "-")
	}
	return strings.Join(list, " ")
}

// loseEngine makes a backend whose first engine that is asked is gone from then on.
func loseEngine(f **inflightCall, b *scriptedBackend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		other := map[string]string{"v1-0": "v2-1", "v2-1": "v1-0"}[r.Header.Get("Expect-Instance")]
		build, _, _ := strings.Cut(other, "-")
		fleet := (*f).fleet
		fleet.mutex.Lock()
		fleet.local.Update([]state.Engine{
			{Name: other, URL: "http://" + r.Host, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z", Build: build},
		}, nil)
		fleet.mutex.Unlock()
		b.ServeHTTP(w, r)
	})
}

func TestAnswerDoesNotGoOnAtAnotherBuild(t *testing.T) {
	for _, c := range []struct {
		name   string
		builds []string
		gone   bool // the first engine
		want   string
		runs   []string
	}{
		{"another engine of the build", []string{"v1", "v2", "v1", "v2"}, false, `200 "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" whole`, []string{"v1 v1", "v2 v2"}},
		{"the only engine of the build", []string{"v1", "v2"}, false, `200 "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" whole`, []string{"v1 v1", "v2 v2"}},
		{"no engine of the build", []string{"v1", "v2"}, true, `200 "id: 1\ndata: a\n\n" broken off`, []string{"v1", "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &scriptedBackend{answers: []string{firstHalf, secondHalf}}
			var f *inflightCall
			var h http.Handler = b
			if c.gone {
				h = loseEngine(&f, b)
			}
			f = newScriptedCall(t, h, "resumable", c.builds...)
			got := strings.TrimSpace(deliverTo(t, f))
			if runs := buildsOf(b); got != c.want || runs != c.runs[0] && runs != c.runs[1] {
				t.Errorf("%s, run by %s; want %s, run by one of %q", got, runs, c.want, c.runs)
			}
		})
	}
}

// replyTo applies a reply to each of a row of heartbeats, until the returned function is called.
func replyTo(f *inflightCall, replies string) func() {
	const interval = 20 * time.Millisecond
	reply := func() {
		sent, version := f.clock.Elapsed(), f.fleet.Snapshot().Version()
		switch replies {
		case "to old heartbeats":
			sent -= 2 * freshness
		case "of a newer state":
			version++
		}
		f.fleet.ApplyReply(f.clock.Now(), proto.HeartbeatReply{Version: version})
		f.fleet.MarkCurrent(sent, version)
	}
	if replies == "none" {
		return func() {}
	}
	reply()
	if replies == "before the call" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		for clock.Sleep(ctx, interval); ctx.Err() == nil; clock.Sleep(ctx, interval) {
			reply()
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

func TestCallerTakesStreamUpOnlyAtItsBuild(t *testing.T) {
	mixed := []string{"v1", "v2", "v1", "v2"}
	for _, c := range []struct {
		name    string
		builds  []string
		origins []proto.StreamOrigin
		plain   bool
		replies string // of the leader: "" for one after another, or what is wrong with them
		unnamed bool
		answer  string
		want    string
		runs    string
	}{
		{name: "known", builds: mixed, origins: []proto.StreamOrigin{{ID: "first", Pool: "m", Build: "v2"}}, answer: secondHalf, want: "200", runs: "v2"},
		{name: "known, service without prompts", builds: mixed, origins: []proto.StreamOrigin{{ID: "first", Pool: "m", Build: "v2"}}, plain: true, answer: secondHalf, want: "200", runs: "v2"},
		{name: "unknown", builds: mixed, want: "503"},
		{name: "unknown, one build", builds: []string{"v2", "v2"}, answer: secondHalf, want: "200", runs: "v2"},
		{name: "unknown, one build, cut off", builds: []string{"v2", "v2"}, replies: "none", want: "503"},
		{name: "unknown, one build, cut off just now", builds: []string{"v2", "v2"}, replies: "before the call", answer: secondHalf, want: "503"},
		{name: "unknown, one build, replies from before a freeze", builds: []string{"v2", "v2"}, replies: "to old heartbeats", answer: secondHalf, want: "503"},
		{name: "unknown, one build, changes are missing", builds: []string{"v2", "v2"}, replies: "of a newer state", answer: secondHalf, want: "503"},
		{name: "another build than the one known here", builds: []string{"v2", "v2"}, origins: []proto.StreamOrigin{{ID: "first", Pool: "m", Build: "v3"}}, want: "503"},
		{name: "caller names no stream", builds: []string{"v2", "v2"}, origins: []proto.StreamOrigin{{ID: "", Pool: "m", Build: "v3"}}, unnamed: true, answer: secondHalf, want: "200", runs: "v2"},
		{name: "build is gone", builds: []string{"v2", "v2"}, origins: []proto.StreamOrigin{{ID: "first", Pool: "m", Build: "v1"}}, want: "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &scriptedBackend{answers: []string{c.answer}}
			f := newScriptedCall(t, b, "resumable", c.builds...)
			f.fleet.broker = &knowingBroker{origins: c.origins}
			defer replyTo(f, c.replies)()
			f.call.LastEventID, f.call.Resumes = "1", "first"
			if c.unnamed {
				f.call.Resumes = ""
			}
			if c.plain {
				f.targetPool.Spec = nil
			}
			if c.name == "build is gone" {
				f.fleet.builds.Update(f.clock.Now(), f.fleet.Snapshot().Version(), []state.Engine{{Pool: "m", Build: "v1"}}, nil)
				f.fleet.builds.Update(f.clock.Now(), f.fleet.Snapshot().Version(), []state.Engine{{Pool: "m", Build: "v2"}}, nil)
			}
			got := strings.TrimSpace(deliverTo(t, f))
			if runs := buildsOf(b); !strings.HasPrefix(got, c.want) || runs != c.runs {
				t.Errorf("%s, run by %q; want %s, run by %q", got, runs, c.want, c.runs)
			}
		})
	}
}

// A release that begins while a stream runs: its origin is told to the others.
func TestOriginsAreSharedOnceBuildsMix(t *testing.T) {
	f := newScriptedCall(t, &scriptedBackend{answers: []string{whole}}, "resumable", "v1")
	others := &knowingBroker{}
	f.fleet.broker = others
	if got := deliverTo(t, f); !strings.HasPrefix(got, "200") || len(others.shared) != 0 {
		t.Fatalf("%s, shared %v", got, others.shared)
	}
	store := view.New()
	if err := store.Apply(state.View{
		Version: 1, Engines: []state.Engine{{Name: "1", Pool: "m", Build: "v1"}, {Name: "2", Pool: "m", Build: "v2"}},
		Members: []state.Member{{Name: "other", Kind: state.MemberEntry, LinkAddress: "10.0.0.9:1"}},
	}); err != nil {
		t.Fatal(err)
	}
	f.fleet.SetSnapshot(store.Current())
	if list := others.shared["10.0.0.9:1"]; len(list) != 1 || list[0].ID != f.call.ID || list[0].Build != "v1" || list[0].Left < 20*time.Second {
		t.Fatalf("shared %+v", others.shared)
	}
}

// An instance that stood still as a release began had told no other of its streams.
func TestOriginIsToldWhileOneBuildServes(t *testing.T) {
	f := newScriptedCall(t, &scriptedBackend{}, "resumable", "v1")
	others := &knowingBroker{}
	f.fleet.broker = others
	store := view.New()
	if err := store.Apply(state.View{
		Version: 1, Engines: []state.Engine{{Name: "1", Pool: f.targetPool.Name, Build: "v1"}},
		Members: []state.Member{{Name: "other", Kind: state.MemberEntry, LinkAddress: "10.0.0.9:1"}},
	}); err != nil {
		t.Fatal(err)
	}
	f.fleet.SetSnapshot(store.Current())
	replyTo(f, "before the call")
	if _, sole := f.fleet.soleBuild(f.targetPool.Name, time.Minute); !sole {
		t.Fatal("v1 isn't the only build")
	}
	f.recordOrigin("v1")
	if list := others.shared["10.0.0.9:1"]; len(list) != 1 || list[0].ID != f.call.ID || list[0].Build != "v1" {
		t.Fatalf("told %+v", others.shared)
	}
}
