// Package bench runs one trial: a deployment of real processes under one
// policy, with the arrivals of one seed.
package bench

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/bound"
	"verbenahaven.example/trial/demand"
	"verbenahaven.example/trial/fleet"
)

// Policy is one of the ways to run a deployment that are compared.
type Policy struct {
	Name  string
	Plan  string // of the planner
	Route string // of the entry instances
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

// Deployment is a deployment with its workload. Times of the control loop are
// a tenth of those in production: role changes, horizon and shifts alike.
type Deployment struct {
	Name     string
	Services []demand.Service
	Segments []demand.Segment
	Engines  int
	Prefill  int // prefill engines at the start
	Plains   int
	Price    float64
	Withdraw int // segment at whose middle an engine is withdrawn, -1 for none
	Lag      int // segment with reports that come five times later, -1 for none
}

// Engine model of the trials. Batches are small, so that one machine can
// carry the streams of a whole deployment.
const (
	prefillRate = 20000.0
	step        = 20 * time.Millisecond
	slope       = time.Millisecond
	batchSize   = 8
	memory      = 120000
	cacheTokens = 48000
	change      = 400 * time.Millisecond
	lag         = 100 * time.Millisecond
	lagFactor   = 5
	pollRate    = 60 // load reports a second: shifts are ten times faster here
	entries     = 4
	keepers     = 3
	modelName   = "spec"
	plainCall   = 5 * time.Millisecond
)

// Capacity is the nominal capacity of one engine.
func Capacity() bound.Engine {
	full := step + (batchSize-1)*slope
	return bound.Engine{Prefill: prefillRate, Decode: batchSize / full.Seconds()}
}

func centres() []string {
	return []string{"north", "middle", "south"}
}

func options(d Deployment, p Policy, bin, folder string) fleet.Options {
	o := fleet.Options{
		Bin: bin, Folder: folder, Keepers: keepers, Entries: entries, Centres: centres(),
		Keep: map[string]any{
			"group": map[string]any{"heartbeat": "100ms", "election": "1s"},
			"order": map[string]any{"lease": "1s", "margin": "200ms", "flight": "300ms", "drain": "5s"},
			"plan": map[string]any{
				"policy": p.Plan, "price": d.Price, "dwell": "2s", "horizon": "4s",
				"period": "200ms", "moving": 2, "reserve": 2,
			},
		},
		Entry: map[string]any{
			"route": map[string]any{"policy": p.Route, "report": "200ms", "polls": pollRate},
			"retry": map[string]any{"silence": "2s"},
		},
	}
	for i := range d.Engines {
		role := state.RoleDecode
		if i < d.Prefill {
			role = state.RolePrefill
		}
		o.Engines = append(o.Engines, fleet.Engine{
			Name: engineName(i), Centre: centres()[i%len(centres())], Model: modelName, Role: role, Fenced: true,
			Extra: map[string]any{
				"prefill": prefillRate, "step": step.String(), "slope": slope.String(), "batch": batchSize,
				"memory": memory, "cache": cacheTokens, "change": change.String(), "load": change.String(), "lag": lag.String(),
			},
		})
	}
	for _, v := range d.Services {
		if v.Plain {
			o.Declare += fmt.Sprintf("declare service %s kind plain class %s deadline %s once true\n", v.Name, v.Class, v.Deadline)
			continue
		}
		o.Declare += fmt.Sprintf("declare service %s kind model model %s revision 1 class %s deadline %s first %s\n",
			v.Name, modelName, v.Class, v.Deadline, v.First)
	}
	for i := range d.Plains {
		o.Plains = append(o.Plains, fleet.Plain{
			Name: fmt.Sprintf("plain%d", i+1), Centre: centres()[i%len(centres())], Service: d.plain(),
			Extra: map[string]any{"time": plainCall.String()},
		})
	}
	return o
}

func engineName(i int) string {
	return fmt.Sprintf("engine%02d", i+1)
}

func (d Deployment) plain() string {
	for _, v := range d.Services {
		if v.Plain {
			return v.Name
		}
	}
	return ""
}
