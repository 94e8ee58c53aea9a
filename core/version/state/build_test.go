package state_test

import (
	"testing"
	"time"

	"verbenahaven.example/core/version/state"
)

// After all processes had been killed, nobody knew that another build had served.
func TestFormerBuildsSurviveSnapshot(t *testing.T) {
	start := time.Unix(1000, 0).UTC()
	s := state.New()
	index := uint64(0)
	sync := func(at time.Duration, builds ...string) {
		index++
		s.BeginCommand(index, start.Add(at))
		var f state.Fleet
		for _, b := range builds {
			f.Engines = append(f.Engines, state.Engine{Name: "e-" + b, URL: "http://h:1", Pool: "m", Build: b, Phase: state.PhaseServing})
		}
		f.Servers = []state.Server{{Name: "s", URL: "http://h:2", Service: "app", Build: "v1", Phase: state.PhaseServing}}
		s.SyncFleet(f)
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		s = state.New()
		if err := s.Restore(b); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []struct {
		at     time.Duration
		builds []string
		former string
	}{
		{0, []string{"v1"}, ""},
		{time.Second, []string{"v1", "v2"}, ""},
		{2 * time.Second, []string{"v2"}, "v1"},
		{3 * time.Second, []string{"v1", "v2"}, ""}, // the way back
		{4 * time.Second, []string{"v2"}, "v1"},
		{time.Hour, []string{"v2"}, "v1"},
		{time.Hour + 5*time.Second, []string{"v2"}, ""},
	} {
		sync(step.at, step.builds...)
		former := ""
		for _, b := range s.FormerBuilds() {
			former += b.Build
			if b.Pool != "m" {
				t.Errorf("at %v: %+v", step.at, b)
			}
		}
		if former != step.former {
			t.Errorf("at %v: former builds %q, want %q", step.at, former, step.former)
		}
	}
}
