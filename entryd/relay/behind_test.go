package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// An instance that stood still ran calls that others passed on by the routing table of before.
func TestInstanceBehindRunsNoForwardedCall(t *testing.T) {
	server := func(name string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answerAs(w, r)
			_, _ = io.WriteString(w, name)
		}))
		t.Cleanup(s.Close)
		return s
	}
	before, after := server("before"), server("after")
	const newer = soundState + 1
	for _, c := range []struct {
		name    string
		catchUp time.Duration // until the instance behind has the newer state, 0 for never
		third   bool          // another instance has it
		ahead   bool          // the one asked first has a still newer state
		want    int
	}{
		{"another has the newer state", 0, true, false, http.StatusOK},
		{"none has it", 0, false, false, http.StatusServiceUnavailable},
		{"it comes soon", 10 * time.Millisecond, false, false, http.StatusOK},
		{"the instance is ahead", 0, false, true, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := newPeers(t, before, 1, 2)
			links := []string{"", hostOf(list[1].peers)}
			if c.third {
				links = append(links, hostOf(list[2].peers))
				list[2].setState(t, newer, []string{hostOf(after)}, links)
			}
			id := idPreferring(t, list[0], hostOf(list[1].peers), hostOf(list[2].peers))
			list[0].setState(t, newer, []string{closedAddress(t)}, links)
			if c.ahead {
				list[1].setState(t, newer+1, []string{hostOf(after)}, links)
			}
			if c.catchUp > 0 {
				time.AfterFunc(c.catchUp, func() { list[1].setState(t, newer, []string{hostOf(after)}, links) })
			}
			a := send(t, newCallTo(t, list[0], id, "/unsafe/", "x"))
			body, _ := io.ReadAll(a.Body)
			if a.StatusCode != c.want || c.want == http.StatusOK && string(body) != "after" {
				t.Errorf("status %d, run by the servers of %q, want %d", a.StatusCode, body, c.want)
			}
		})
	}
}

// Plays instances that stand still, are cut off or start anew while the state changes: a call
// that is passed on is handled by a state no older than any that its first instance had
// shown by then.
func TestForwardedCallsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest, list := uint64(1), make([]*Fleet, 3)
		restart := func(i int) { list[i] = newTestFleet() }
		deliver := func(i int, version uint64) {
			if version <= list[i].Snapshot().Version() {
				return
			}
			store := view.New()
			if err := store.Apply(state.View{Version: version}); err != nil {
				t.Fatal(err)
			}
			list[i].SetSnapshot(store.Current())
		}
		for i := range list {
			restart(i)
		}
		instance := func(name string) int { return rapid.IntRange(0, len(list)-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"change":  func(*rapid.T) { newest++ },
			"restart": func(*rapid.T) { restart(instance("restarted")) },
			"hear": func(t *rapid.T) {
				deliver(instance("hearing"), rapid.Uint64Range(1, newest).Draw(t, "version")) // also what was held up
			},
			"forward": func(t *rapid.T) {
				from, to := list[instance("from")], instance("to")
				accepted := from.Snapshot().Version()
				heard := make(chan struct{})
				late := rapid.Bool().Draw(t, "late")
				go func() {
					defer close(heard)
					if late {
						deliver(to, newest)
					}
				}()
				f := list[to]
				taken := f.awaitState(context.Background(), &server.Call{State: accepted, TimeLeft: 10 * time.Millisecond})
				snapshot, end := f.BeginRequest()
				end()
				<-heard
				if taken && snapshot.Version() < accepted {
					t.Fatalf("accepted under %d, handled by %d", accepted, snapshot.Version())
				}
			},
		})
	})
}

// replyingBroker gives one reply, whatever is asked.
type replyingBroker struct {
	silentBroker
	reply proto.PlaceReply
}

func (b *replyingBroker) Ask(context.Context, string, *proto.PlaceRequest) (*proto.PlaceReply, error) {
	return &b.reply, nil
}

// Plays brokers that stood still or are ahead while engines leave, come and move between pools:
// a generation goes to no engine that isn't a serving one of its pool and build, as the asking
// instance knows them.
func TestRepliesOfBrokersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"e0", "e1", "e2"}
		urlOf := func(name string) string { return "http://" + name + ":1" }
		b, f, version := &replyingBroker{}, newTestFleet(), uint64(0)
		f.broker = b
		change := func(t *rapid.T) {
			version++
			v := state.View{Version: version}
			for _, name := range names {
				e := state.Engine{Name: name, URL: urlOf(name), Centre: "z", Version: version, Role: state.RoleMixed}
				e.Pool = rapid.SampledFrom([]string{"m", "m", "n"}).Draw(t, "pool")
				e.Build = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "build")
				e.Phase = rapid.SampledFrom([]state.Phase{state.PhaseServing, state.PhaseServing, state.PhaseLeaving}).Draw(t, "phase")
				if rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
					v.Engines = append(v.Engines, e)
				}
			}
			store := view.New()
			if err := store.Apply(v); err != nil {
				t.Fatal(err)
			}
			f.SetSnapshot(store.Current())
			f.delegate.SetBroker("broker")
		}
		fits := func(name string, build *string) bool {
			e, found := f.Snapshot().Engine(name)
			return found && e.Phase == state.PhaseServing && e.Pool == "m" && (build == nil || e.Build == *build)
		}
		ask := func(t *rapid.T) {
			engine := rapid.SampledFrom([]string{"", "e0", "e1", "e2", "unknown"})
			b.reply = proto.PlaceReply{Decode: engine.Draw(t, "decode"), Prefill: engine.Draw(t, "prefill")}
			from := engine.Draw(t, "fetch")
			if from != "" {
				b.reply.Fetch = urlOf(from)
			}
			r := &sched.Request{}
			r.ID, r.Pool, r.Prompt = "1", "m", &server.Prompt{Tokens: 10, MaxOutput: 10}
			if rapid.Bool().Draw(t, "resumes") {
				r.Build = new("v1")
			}
			k, err := f.schedule(t.Context(), time.Now(), r)
			if err != nil {
				return // no engine fits
			}
			defer k.end(0, 0)
			p := &k.Plan
			if !fits(p.Decode.Name, r.Build) || p.Prefill.Name != "" && !fits(p.Prefill.Name, nil) {
				t.Fatalf("placed at %+v and %+v after the reply %+v", p.Prefill, p.Decode, b.reply)
			}
			if p.FetchURL != "" && (p.FetchURL != b.reply.Fetch || !fits(from, nil)) {
				t.Fatalf("fetches from %s after the reply %+v", p.FetchURL, b.reply)
			}
		}
		t.Repeat(map[string]func(*rapid.T){"change": change, "ask": ask})
	})
}
