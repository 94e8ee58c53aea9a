// Package bench runs one benchmark: a deployment of real processes under one
// policy, with the request arrivals of one seed.
package bench

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/bound"
	"verbenahaven.example/trial/demand"
	"verbenahaven.example/trial/fleet"
)

// Policy is a combination of planner and routing policy to compare.
type Policy struct {
	Name        string
	PlanPolicy  string // of the planner, which assigns roles to engines
	RoutePolicy string // routing policy of the entry instances
}

// Policies returns the policies to compare, the system's own first.
func Policies() []Policy {
	return []Policy{
		{"goodput", "goodput", "cache"},
		{"fixed", "fixed", "cache"},
		{"threshold", "threshold", "cache"},
		{"load", "goodput", "load"},
	}
}

// Deployment describes a deployment and its workload. The times of the control
// loop (role changes, planning horizon, load shifts) are a tenth of those in
// production.
type Deployment struct {
	Name            string
	Services        []demand.Service
	Segments        []demand.Segment
	Engines         int
	PrefillEngines  int // prefill engines at the start
	PlainServers    int
	ChangeCost      float64 // cost of a role change, as the planner weighs it
	WithdrawSegment int     // segment in whose middle an engine is withdrawn, -1 for none
	LagSegment      int     // segment in which load reports lag five times as long, -1 for none
}

// Parameters of the simulated engines and of the deployment. Batches are small,
// so that one machine can carry the streams of a whole deployment.
const (
	prefillRate         = 20000.0 // prompt tokens per second
	stepTime            = 20 * time.Millisecond
	stepTimePerSequence = time.Millisecond // for each further sequence in a batch
	batchSize           = 8
	kvTokens            = 120000
	cacheTokens         = 48000
	roleChangeTime      = 400 * time.Millisecond
	reportLag           = 100 * time.Millisecond
	lagFactor           = 5
	loadPollRate        = 60 // load reports per second; load shifts ten times faster than in production
	entryCount          = 4
	keeperCount         = 3
	modelName           = "spec"
	plainCallTime       = 5 * time.Millisecond
)

// EngineCapacity returns the nominal capacity of one engine.
func EngineCapacity() bound.Engine {
	full := stepTime + (batchSize-1)*stepTimePerSequence
	return bound.Engine{Prefill: prefillRate, Decode: batchSize / full.Seconds()}
}

func centres() []string {
	return []string{"north", "middle", "south"}
}

func fleetOptions(d Deployment, p Policy, bin, folder string) fleet.Options {
	o := fleet.Options{
		Bin: bin, Folder: folder, Keepers: keeperCount, Entries: entryCount, Centres: centres(),
		KeeperSettings: map[string]any{
			"group": map[string]any{"heartbeat": "100ms", "election": "1s"},
			"order": map[string]any{"lease": "1s", "margin": "200ms", "flight": "300ms", "drain": "5s"},
			"plan": map[string]any{
				"policy": p.PlanPolicy, "price": d.ChangeCost, "dwell": "2s", "horizon": "4s",
				"period": "200ms", "moving": 2, "reserve": 2,
			},
		},
		EntrySettings: map[string]any{
			"route": map[string]any{"policy": p.RoutePolicy, "report": "200ms", "polls": loadPollRate},
			"retry": map[string]any{"silence": "2s"},
		},
	}
	for i := range d.Engines {
		role := state.RoleDecode
		if i < d.PrefillEngines {
			role = state.RolePrefill
		}
		o.Engines = append(o.Engines, fleet.Engine{
			Name: engineName(i), Centre: centres()[i%len(centres())], Model: modelName, Role: role, Fenced: true,
			ExtraSettings: map[string]any{
				"prefill": prefillRate, "step": stepTime.String(), "slope": stepTimePerSequence.String(), "batch": batchSize,
				"memory": kvTokens, "cache": cacheTokens, "change": roleChangeTime.String(), "load": roleChangeTime.String(), "lag": reportLag.String(),
			},
		})
	}
	for _, v := range d.Services {
		if v.Plain {
			o.Commands += fmt.Sprintf("declare service %s kind plain class %s deadline %s once true\n", v.Name, v.Class, v.Deadline)
			continue
		}
		o.Commands += fmt.Sprintf("declare service %s kind model model %s revision 1 class %s deadline %s first %s\n",
			v.Name, modelName, v.Class, v.Deadline, v.TTFTLimit)
	}
	for i := range d.PlainServers {
		o.PlainServers = append(o.PlainServers, fleet.PlainServer{
			Name: fmt.Sprintf("plain%d", i+1), Centre: centres()[i%len(centres())], Service: d.plainService(),
			ExtraSettings: map[string]any{"time": plainCallTime.String()},
		})
	}
	return o
}

func engineName(i int) string {
	return fmt.Sprintf("engine%02d", i+1)
}

func (d Deployment) plainService() string {
	for _, v := range d.Services {
		if v.Plain {
			return v.Name
		}
	}
	return ""
}
