// Package plan decides when an engine changes its role. Policies are
// deterministic: what they see and the time come in, a choice comes out.
package plan

import (
	"errors"
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// Engine is what a policy sees of one engine.
type Engine struct {
	Name    string
	Centre  string
	Model   string
	Role    state.Role
	Phase   state.Phase
	Alive   bool
	Changed time.Time     // when its last role change ended
	Running int           // streams in the batch
	Waiting int           // requests that wait
	Queue   int           // prompt tokens that wait for prefill
	Used    float64       // share of KV memory in use
	Step    time.Duration // time between tokens
	Age     time.Duration // of the report
	Prefill float64       // prefill rate, prompt tokens a second; 0 if not reported
	Batch   int           // largest decode batch; 0 if not reported
}

// Demand is what arrived for one service in the last interval.
type Demand struct {
	Service  string
	Model    string
	Class    state.Class
	First    time.Duration // deadline of the first token
	Requests float64       // a second
	Prefill  float64       // prompt tokens a second, cached part left out
	Decode   float64       // output tokens a second
	Refused  float64       // requests a second refused for lack of room
}

// Input is everything that a policy sees.
type Input struct {
	Engines []Engine
	Demand  []Demand
}

// Choice is one role change, with the reasons that operators can ask for.
type Choice struct {
	Engine  string
	Role    state.Role
	Saw     string
	Weighed string
	Reason  string
}

// Policy decides on at most one role change at a time.
type Policy interface {
	// Decide is called once a period. The second result is false when no
	// engine should change.
	Decide(now time.Time, in Input) (Choice, bool)
}

// Settings are the deployment's own weights and bounds.
type Settings struct {
	Price   float64       // weight of one change against seconds of lost goodput
	Dwell   time.Duration // least time between two changes of an engine
	Horizon time.Duration // time in which a change must pay back
	Period  time.Duration // time between decisions
	Moving  int           // engines in transition at once
	Reserve int           // engines of each role that always stay
}

// idleShare is the share of a model's engines that may be in transition at once
// while nothing is asked of them: nobody misses them, and the first requests
// may come soon.
const idleShare = 0.34

// most is how many engines may be in transition at once.
func (s *Settings) most(in Input, model string) int {
	engines := 0
	for _, d := range in.Demand {
		if d.Model == model && d.Requests > 0 {
			return s.Moving
		}
	}
	for _, e := range in.Engines {
		if e.Model != model {
			continue
		}
		if e.Running+e.Waiting > 0 {
			return s.Moving
		}
		engines++
	}
	return max(s.Moving, int(idleShare*float64(engines)))
}

// Names of the policies.
const (
	NameGoodput   = "goodput"
	NameThreshold = "threshold"
	NameFollow    = "follow"
	NameFixed     = "fixed"
)

// ErrUnknown tells that there is no policy of a name.
var ErrUnknown = errors.New("no such policy")

// New returns the policy of a name.
func New(name string, s Settings) (Policy, error) {
	switch name {
	case NameGoodput:
		return &checked{s, newGoodput(s)}, nil
	case NameThreshold:
		return &checked{s, newThreshold(s)}, nil
	case NameFollow:
		return &checked{s, newFollow(s)}, nil
	case NameFixed:
		return Fixed{}, nil
	default:
		return nil, fmt.Errorf("policy %q: %w", name, ErrUnknown)
	}
}

// Fixed is the policy that never changes a role.
type Fixed struct{}

// Decide implements Policy.
func (Fixed) Decide(time.Time, Input) (Choice, bool) {
	return Choice{}, false
}
