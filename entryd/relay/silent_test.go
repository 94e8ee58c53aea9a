package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/version/state"
)

// silentBackend plays a line of steps for each decode request, in the order of their
// arrival: an event's ID or "next", a silence, "refuse", "fail" or "break".
type silentBackend struct {
	mutex sync.Mutex
	lines []string
	trace []string // outcome of each request
}

func (b *silentBackend) update(change func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change()
}

func (b *silentBackend) next() (line string, number int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	number = len(b.trace) + 1
	if number > len(b.lines) {
		line = "refuse"
	} else {
		line = b.lines[number-1]
	}
	b.trace = append(b.trace, "")
	return line, number
}

func (b *silentBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", "1")
	line, number := b.next()
	outcome := "whole"
	begun := false
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	defer func() {
		b.update(func() { b.trace[number-1] = outcome })
	}()
	for _, step := range strings.Fields(line) {
		if pause, err := time.ParseDuration(step); err == nil {
			select {
			case <-r.Context().Done():
				outcome = "left"
				return
			case <-time.After(pause):
			}
			continue
		}
		switch step {
		case "refuse":
			outcome = "refused"
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "fail":
			outcome = "failed"
			w.Header().Set("Server-Signature", "s")
			w.WriteHeader(http.StatusInternalServerError)
			return
		case "break":
			outcome = "broken"
			panic(http.ErrAbortHandler)
		}
		if step == "next" {
			step = strconv.Itoa(after + 1)
		}
		after, _ = strconv.Atoi(step)
		if !begun {
			begun = true
			w.Header().Set("Server-Signature", "s")
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprintf(w, "id: %s\ndata: %d\n\n", step, number)
		_ = http.NewResponseController(w).Flush()
	}
}

// newSilentCall returns a resumable call to engines that a backend stands for.
func newSilentCall(t *testing.T, b http.Handler, engines, attempts int, retries float64) *inflightCall {
	t.Helper()
	f := newScriptedCall(t, &scriptedBackend{}, "resumable")
	backend := httptest.NewServer(b)
	t.Cleanup(backend.Close)
	list := make([]state.Engine, engines)
	for i := range list {
		list[i] = state.Engine{Name: strconv.Itoa(i), URL: backend.URL, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"}
	}
	f.fleet.local.Update(list, nil)
	f.fleet.builds.Update(f.clock.Now(), 0, list, nil)
	f.fleet.budget.SetLimits(time.Minute, perRetry*retries, 0)
	f.route.MaxAttempts, f.route.LatencyTarget, f.route.GapTarget = attempts, 200*time.Millisecond, 50*time.Millisecond
	f.route.Timeout = 4 * time.Second
	return f
}

func TestSilentEngineDoesNotEndAnswer(t *testing.T) {
	datadriven.RunTest(t, "testdata/silent", func(t *testing.T, d *datadriven.TestData) string {
		engines, attempts, retries := 2, 2, 1
		for _, a := range []struct {
			name  string
			value *int
		}{{"engines", &engines}, {"attempts", &attempts}, {"retries", &retries}} {
			if d.HasArg(a.name) {
				d.ScanArgs(t, a.name, a.value)
			}
		}
		b := &silentBackend{lines: strings.Split(d.Input, "\n")}
		f := newSilentCall(t, b, engines, attempts, float64(retries))
		out := deliverTo(t, f)
		var trace string
		ended := false
		for deadline := time.Now().Add(time.Second); !ended && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			b.update(func() {
				ended = !slices.Contains(b.trace, "")
				trace = fmt.Sprintf("engines: %s\n", strings.Join(b.trace, ", "))
			})
		}
		return out + trace
	})
}
