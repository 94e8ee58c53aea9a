package soak

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

const (
	keeperCount      = 3
	spareCount       = 1
	entryCount       = 6
	engineCount      = 6
	plainServerCount = 2
	// replaceAfter is the time without contact after which a spare replaces a
	// voter.
	replaceAfter = 4 * time.Second
	// catchUpTime is how long a replacement takes to catch up in this
	// deployment.
	catchUpTime  = 8 * time.Second
	maxFaultTime = 3 * time.Second
)

const (
	modelName    = "spec"
	modelService = "counter"
	plainService = "permit"
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
			Model: modelName, Role: role, Fenced: i%3 != 0,
			ExtraSettings: map[string]any{"change": "300ms", "load": "300ms", "step": "5ms"},
		})
	}
	return out
}

func plainServers() []fleet.PlainServer {
	out := make([]fleet.PlainServer, 0, plainServerCount)
	for i := range plainServerCount {
		out = append(out, fleet.PlainServer{Name: fmt.Sprintf("permit%d", i+1), Centre: centres()[i%len(centres())], Service: plainService})
	}
	return out
}

// deployment returns the deployment of a run. Leases and timeouts are shorter
// than in production, so that more recoveries fit into a run.
func deployment(o Options) fleet.Options {
	return fleet.Options{
		Bin: o.Bin, Folder: o.Folder, Keepers: keeperCount, Spares: spareCount, Entries: entryCount,
		Centres: centres(), Engines: engines(), PlainServers: plainServers(), ProxyLinks: true, ProxyBackends: true,
		Operators: []string{steadyOperator, plannerOperator, racingOperator},
		Commands: fmt.Sprintf("declare service %s kind model model %s revision 1 class first deadline 20s first 5s\n", modelService, modelName) +
			fmt.Sprintf("declare service %s kind plain class first deadline 5s once true\n", plainService),
		KeeperSettings: map[string]any{
			"group":  map[string]any{"replace": replaceAfter.String()},
			"order":  map[string]any{"lease": "1s", "margin": "200ms", "flight": "500ms", "drain": "20s"},
			"ledger": map[string]any{"holder": "2s"},
			"member": map[string]any{"lease": "2s"},
			"plan":   map[string]any{"policy": "goodput", "dwell": "3s", "horizon": "10s", "period": "500ms"},
		},
		EntrySettings: map[string]any{
			"address": map[string]any{"life": addressTTL.String()},
			"retry":   map[string]any{"silence": "1s"},
		},
	}
}
