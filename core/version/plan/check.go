package plan

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// checkedPolicy wraps a policy and panics if a role change breaks a bound that
// holds for every policy.
type checkedPolicy struct {
	settings Settings
	policy   Policy
}

// Decide implements Policy.
func (p *checkedPolicy) Decide(now time.Time, in Input) (RoleChange, bool) {
	c, ok := p.policy.Decide(now, in)
	if ok {
		p.check(now, in, c)
	}
	return c, ok
}

func (p *checkedPolicy) check(now time.Time, in Input, c RoleChange) {
	changing := 0
	var chosen *Engine
	for i, e := range in.Engines {
		if e.Phase == state.PhaseChanging {
			changing++
		}
		if e.Name == c.Engine {
			chosen = &in.Engines[i]
		}
	}
	if chosen == nil || !usable(*chosen) || chosen.Role == c.Role {
		panic(fmt.Sprintf("plan: engine %q can't change to role %q: it isn't serving or has the role", c.Engine, c.Role))
	}
	if changing >= p.settings.changeLimit(in, chosen.Model) {
		panic(fmt.Sprintf("plan: change of %s with %d engines in transition", c.Engine, changing))
	}
	if now.Sub(chosen.ChangedAt) < p.settings.MinDwell {
		panic(fmt.Sprintf("plan: change of %s too soon after its last change", c.Engine))
	}
	if n := remainingServing(in, *chosen); n < p.settings.MinPerRole {
		panic(fmt.Sprintf("plan: change of %s leaves %d engines for %s", c.Engine, n, chosen.Role))
	}
}

// remainingServing counts the engines that serve the role of e, without e itself.
func remainingServing(in Input, e Engine) int {
	n := 0
	for _, x := range in.Engines {
		same := x.Role == e.Role || x.Role == state.RoleMixed
		if x.Model == e.Model && same && usable(x) && x.Name != e.Name {
			n++
		}
	}
	return n
}
