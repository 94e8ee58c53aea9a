package soak

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

const (
	keepers     = 3
	spares      = 1
	entries     = 6
	engineCount = 6
	plainCount  = 2
	// replaceAfter is the silence after which a voter is replaced.
	replaceAfter = 4 * time.Second
	// repairTime is what catching up takes here.
	repairTime   = 8 * time.Second
	longestFault = 3 * time.Second
)

const (
	model   = "spec"
	service = "counter"
	permit  = "permit"
)

func centres() []string {
	return []string{"north", "middle", "south"}
}

func engines() []fleet.Engine {
	out := make([]fleet.Engine, 0, engineCount)
	for i := range engineCount {
		role := state.RolePrefill
		if i%2 == 1 {
			role = state.RoleDecode
		}
		out = append(out, fleet.Engine{
			Name: fmt.Sprintf("engine%d", i+1), Centre: centres()[i%len(centres())],
			Model: model, Role: role, Fenced: i%3 != 0,
			Extra: map[string]any{"change": "300ms", "load": "300ms", "step": "5ms"},
		})
	}
	return out
}

func plains() []fleet.Plain {
	out := make([]fleet.Plain, 0, plainCount)
	for i := range plainCount {
		out = append(out, fleet.Plain{Name: fmt.Sprintf("permit%d", i+1), Centre: centres()[i%len(centres())], Service: permit})
	}
	return out
}

// deployment describes the fleet of a run: terms are shorter than in
// production, so that more repairs fit into it.
func deployment(o Options) fleet.Options {
	return fleet.Options{
		Bin: o.Bin, Folder: o.Folder, Keepers: keepers, Spares: spares, Entries: entries,
		Centres: centres(), Engines: engines(), Plains: plains(), Links: true, Wires: true,
		Operators: []string{steady, planner, racer},
		Declare: fmt.Sprintf("declare service %s kind model model %s revision 1 class first deadline 20s first 5s\n", service, model) +
			fmt.Sprintf("declare service %s kind plain class first deadline 5s once true\n", permit),
		Keep: map[string]any{
			"group":  map[string]any{"replace": replaceAfter.String()},
			"order":  map[string]any{"lease": "1s", "margin": "200ms", "flight": "500ms", "drain": "20s"},
			"ledger": map[string]any{"holder": "2s"},
			"member": map[string]any{"lease": "2s"},
			"plan":   map[string]any{"policy": "goodput", "dwell": "3s", "horizon": "10s", "period": "500ms"},
		},
		Entry: map[string]any{
			"address": map[string]any{"life": addressLife.String()},
			"retry":   map[string]any{"silence": "1s"},
		},
	}
}
