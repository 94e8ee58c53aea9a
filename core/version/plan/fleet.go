package plan

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// Values for engines whose reports are missing.
const (
	fallbackPrefill = 20000.0 // prompt tokens a second
	fallbackBatch   = 64
	fallbackStep    = 10 * time.Millisecond
)

// fleet is the engines of one model.
type fleet struct {
	model   string
	engines []Engine
	moving  int // in transition, all models
}

// split sorts the engines by model, models in order of appearance.
func split(in Input) []fleet {
	var fleets []fleet
	place := make(map[string]int)
	moving := 0
	for _, e := range in.Engines {
		if e.Phase == state.PhaseChanging {
			moving++
		}
		i, ok := place[e.Model]
		if !ok {
			i = len(fleets)
			place[e.Model] = i
			fleets = append(fleets, fleet{model: e.Model})
		}
		fleets[i].engines = append(fleets[i].engines, e)
	}
	for i := range fleets {
		fleets[i].moving = moving
	}
	return fleets
}

func usable(e Engine) bool {
	return e.Alive && e.Phase == state.PhaseServing
}

// count returns how many usable engines serve a role alone.
func (f fleet) count(r state.Role) int {
	n := 0
	for _, e := range f.engines {
		if usable(e) && e.Role == r {
			n++
		}
	}
	return n
}

// serving counts the usable engines that serve a role, mixed ones included.
func (f fleet) serving(r state.Role) int {
	return f.count(r) + f.count(state.RoleMixed)
}

// candidate picks the engine to take from a role: past its dwell, with the
// least work aboard, then the least cache. False if there is none.
func (f fleet) candidate(now time.Time, from state.Role, dwell time.Duration) (Engine, bool) {
	var best Engine
	found := false
	for _, e := range f.engines {
		if !usable(e) || e.Role != from || now.Sub(e.Changed) < dwell {
			continue
		}
		if !found || lighter(e, best) {
			best, found = e, true
		}
	}
	return best, found
}

func lighter(a, b Engine) bool {
	if x, y := a.Running+a.Waiting, b.Running+b.Waiting; x != y {
		return x < y
	}
	if a.Queue != b.Queue {
		return a.Queue < b.Queue
	}
	if a.Used != b.Used {
		return a.Used < b.Used
	}
	return a.Name < b.Name
}

func other(r state.Role) state.Role {
	if r == state.RolePrefill {
		return state.RoleDecode
	}
	return state.RolePrefill
}

func prefillRate(e Engine) float64 {
	if e.Prefill > 0 {
		return e.Prefill
	}
	return fallbackPrefill
}

func batchLimit(e Engine) int {
	if e.Batch > 0 {
		return e.Batch
	}
	return fallbackBatch
}
