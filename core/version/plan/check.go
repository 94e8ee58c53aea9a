package plan

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// checked asserts the bounds that hold for every policy.
type checked struct {
	settings Settings
	policy   Policy
}

// Decide implements Policy.
func (k *checked) Decide(now time.Time, in Input) (Choice, bool) {
	c, ok := k.policy.Decide(now, in)
	if ok {
		k.check(now, in, c)
	}
	return c, ok
}

func (k *checked) check(now time.Time, in Input, c Choice) {
	moving := 0
	var chosen *Engine
	for i, e := range in.Engines {
		if e.Phase == state.PhaseChanging {
			moving++
		}
		if e.Name == c.Engine {
			chosen = &in.Engines[i]
		}
	}
	if chosen == nil || !usable(*chosen) || chosen.Role == c.Role {
		panic(fmt.Sprintf("plan: change of %s to %s makes no sense", c.Engine, c.Role))
	}
	if moving >= k.settings.most(in, chosen.Model) {
		panic(fmt.Sprintf("plan: change of %s with %d engines in transition", c.Engine, moving))
	}
	if now.Sub(chosen.Changed) < k.settings.Dwell {
		panic(fmt.Sprintf("plan: change of %s within its dwell", c.Engine))
	}
	if n := left(in, *chosen); n < k.settings.Reserve {
		panic(fmt.Sprintf("plan: change of %s leaves %d engines for %s", c.Engine, n, chosen.Role))
	}
}

// left counts the engines that serve the role of e without it.
func left(in Input, e Engine) int {
	n := 0
	for _, x := range in.Engines {
		same := x.Role == e.Role || x.Role == state.RoleMixed
		if x.Model == e.Model && same && usable(x) && x.Name != e.Name {
			n++
		}
	}
	return n
}
