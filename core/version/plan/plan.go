// Package plan is the planner that splits engines between prefill and decode: its
// policies decide when an engine changes its role. They are deterministic: each
// decision depends only on the time and the observations passed in so far.
package plan

import (
	"errors"
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// Engine is the state of one engine, from its last report and the fleet's state.
type Engine struct {
	Name         string
	Centre       string
	Model        string // or pool; each is planned separately
	Role         state.Role
	Phase        state.Phase
	Alive        bool
	ChangedAt    time.Time     // end of its last role change
	Running      int           // streams in the batch
	Waiting      int           // queued requests
	QueuedTokens int           // prompt tokens queued for prefill
	KVUsage      float64       // share of KV memory in use
	TPOT         time.Duration // time between tokens
	ReportAge    time.Duration // of the report
	PrefillRate  float64       // prompt tokens per second; 0 if not reported
	MaxBatch     int           // largest decode batch; 0 if not reported
	Reclaimable  bool          // may be taken away at short notice, with all such engines of its data centre
	LongStreams  int           // running answers in which callers notice a pause
	Machine      float64       // time for any work relative to other engines, in every role; 0 if unknown
	SlowGap      time.Duration // between two events of such an answer in a slowdown; 0 if unknown
}

// Demand is the demand for one service in the last interval.
type Demand struct {
	Service            string
	Model              string
	Class              state.Class
	FirstTokenDeadline time.Duration // deadline of the first token
	RequestRate        float64       // requests per second
	PrefillRate        float64       // prompt tokens per second, without the cached part
	DecodeRate         float64       // output tokens per second
	RefusalRate        float64       // requests per second refused for lack of capacity
	GapTarget          time.Duration // longest time between two events; 0 for none
}

// Input is what a policy decides on.
type Input struct {
	Engines []Engine
	Demand  []Demand
}

// RoleChange is one role change, with the reasons that operators can ask for.
type RoleChange struct {
	Engine   string
	Role     state.Role // after the change
	Observed string     // observed demand and engines
	Compared string     // values compared
	Reason   string
}

// Policy decides on at most one role change at a time.
type Policy interface {
	// Decide returns the next role change, or false if there should be none. It
	// is called once per period.
	Decide(now time.Time, in Input) (RoleChange, bool)
}

// Settings holds the weights and bounds that a deployment sets.
type Settings struct {
	ChangeCost  float64       // cost of one role change: seconds of lost goodput, or engine seconds in the follow policy
	MinDwell    time.Duration // least time between two changes of an engine
	Horizon     time.Duration // time in which a change must pay off
	Period      time.Duration // time between decisions
	MaxChanging int           // engines that may change at once
	MinPerRole  int           // engines that each role keeps at least
}

// idleChangingShare is the share of a model's engines that may change at once
// while the model has no requests: no request needs them, and the first ones may
// come soon. The same holds of those that remain after the loss of many engines, which
// may have been most of one role.
const idleChangingShare = 0.34

// lossShare is the share of a model's engines that leave or are dead from which the loss
// is more than a planned change or the fault of a single engine.
const lossShare = 0.2

// changeLimit returns the number of engines that may change their role at once.
func (s *Settings) changeLimit(in Input, model string) int {
	engines, lost, idle := 0, 0, true
	for _, d := range in.Demand {
		if d.Model == model && d.RequestRate > 0 {
			idle = false
		}
	}
	for _, e := range in.Engines {
		if e.Model != model {
			continue
		}
		engines++
		idle = idle && e.Running+e.Waiting == 0
		if !e.Alive || e.Phase == state.PhaseLeaving {
			lost++
		}
	}
	if !idle && (lost == 0 || float64(lost) < lossShare*float64(engines)) {
		return s.MaxChanging
	}
	return max(s.MaxChanging, int(idleChangingShare*float64(engines-lost)))
}

// Names of the policies, as in settings.
const (
	NameGoodput   = "goodput"
	NameThreshold = "threshold"
	NameFollow    = "follow"
	NameFixed     = "fixed"
)

// ErrUnknownPolicy is returned for a name that no policy has.
var ErrUnknownPolicy = errors.New("no such policy")

// New returns the policy with the given name.
func New(name string, s Settings) (Policy, error) {
	switch name {
	case NameGoodput:
		return &checkedPolicy{s, newGoodput(s)}, nil
	case NameThreshold:
		return &checkedPolicy{s, newThreshold(s)}, nil
	case NameFollow:
		return &checkedPolicy{s, newFollow(s)}, nil
	case NameFixed:
		return Fixed{}, nil
	default:
		return nil, fmt.Errorf("policy %q: %w", name, ErrUnknownPolicy)
	}
}

// Fixed is a policy that never changes a role.
type Fixed struct{}

// Decide implements Policy.
func (Fixed) Decide(time.Time, Input) (RoleChange, bool) {
	return RoleChange{}, false
}
