package poll_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/poll"
)

// An engine whose report can't be must not draw the requests of all others to it.
func TestOddReportAttractsNoRequests(t *testing.T) {
	for _, report := range []string{
		`{"queue":-9000000000000000000}`, `{"running":9000000000000000000,"waiting":9000000000000000000}`, `{"queue":9223372036854775807}`,
		`{"batch":-1}`, `{"batch":9223372036854775807}`, `{"prefill":1e-300}`, `{"prefill":-1}`, `{"prefill":1e300}`, `{"prefill":1e400}`,
		`{"step":9000000000000000000,"running":100}`, `{"step":-1}`, `{"running":"x"}`, `{`, `[]`,
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var unread sync.WaitGroup // engines that weren't read several times
		serve := func(text string) *httptest.Server {
			var reads atomic.Int32
			unread.Add(1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if reads.Add(1) == 5 {
					unread.Done()
				}
				_, _ = io.WriteString(w, text)
			}))
			t.Cleanup(s.Close)
			return s
		}
		v := state.View{Version: 1}
		for name, text := range map[string]string{"odd": report, "good": `{"running":3,"queue":5000,"prefill":20000,"batch":32,"step":20000000}`} {
			v.Engines = append(v.Engines, state.Engine{
				Name: name, Model: "m", Role: state.RoleMixed, Phase: state.PhaseServing, URL: serve(text).URL, Version: 1,
			})
		}
		store, b := view.New(), picker.New("entry", "north", route.PolicyLoad)
		if err := store.Apply(v); err != nil {
			t.Fatal(err)
		}
		b.SetSnapshot(store.Current())
		connections, cleanup := pool.New()
		go func() {
			unread.Wait()
			cancel()
		}()
		poll.New(poll.Settings{Period: 20 * time.Millisecond, MaxPerSecond: 1000, Timeout: time.Second, Policy: route.PolicyLoad},
			b, connections, meter.New(), clock.System()).Run(ctx)
		cancel()
		cleanup()
		for range 10 {
			l, err := b.Choose(time.Now(), &route.Request{Model: "m", PromptTokens: 100})
			if err != nil || l.Plan.Decode.Name != "good" {
				t.Errorf("%s: sent to %q, error %v", report, l.Plan.Decode.Name, err)
				break
			}
		}
	}
}
