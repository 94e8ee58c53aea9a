package infer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/picker"
)

// A refusal must say that the call didn't run if no engine received it, and that
// it may have run if one did.
func TestRefusalsSayWhetherTheCallRan(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	expired, end := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer end()
	refusals := map[string]func(*completion) error{
		"caller left":      func(c *completion) error { return c.cancelError(ended) },
		"deadline":         func(c *completion) error { return c.cancelError(expired) },
		"strikes":          func(c *completion) error { return c.strikesError(time.Second) },
		"suspect":          func(c *completion) error { return c.suspectError() },
		"no engine":        func(c *completion) error { return c.toRefusal(route.ErrNoEngine) },
		"instance cut off": func(c *completion) error { return c.toRefusal(picker.ErrIsolated) },
	}
	for name, refuse := range refusals {
		for _, ran := range []bool{false, true} {
			want := once.NotExecuted
			if ran {
				want = once.Executed
			}
			if got := execution(t, refuse(&completion{mayHaveRun: ran})); got != want {
				t.Errorf("%s: the caller is told %q, want %q", name, got, want)
			}
		}
	}
}

// execution returns what a refusal says of the call's execution.
func execution(t *testing.T, err error) once.Execution {
	t.Helper()
	var body struct {
		Error struct {
			Ran once.Execution `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(fault.FromError(err).Body(), &body); err != nil {
		t.Fatal(err)
	}
	return body.Error.Ran
}
