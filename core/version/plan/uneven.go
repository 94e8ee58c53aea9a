package plan

import (
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// unevenRatio is how many times longer the slowest engine must take than the
	// fastest for a pool to count as uneven. Learned factors of equal engines differ by up
	// to 1.35 while some of them are in a slowdown.
	unevenRatio = 1.5
	// exchangeRatio is the same for two engines that exchange their roles.
	exchangeRatio = 1.25
	// classRatio is the difference within which engines count as equally fast.
	classRatio = 1.1
	// minKnownShare is the share of a pool's engines whose speed must be known.
	minKnownShare = 0.6
	// minBusy is the time with demand from which an exchange is considered.
	minBusy = 3 * time.Second
	// exchangeTimeout is how long the second order of an exchange may have to wait.
	exchangeTimeout = 5 * time.Second
)

// speeds is what is known of the relative speed of a pool's engines. It answers loads
// of long answers on engines of uneven speed: callers need a longest pause that only
// fast engines keep in a slowdown, while slow ones can still compute prompts. For
// alike engines all capacities are 1.
type speeds struct {
	known     bool
	long      float64 // engines that the running long answers need
	invMean   float64 // mean of 1 / factor
	slowGap   time.Duration
	gapTarget time.Duration
}

// speedsOf returns the speeds of a pool.
func speedsOf(p pool, demand []Demand) speeds {
	s := speeds{gapTarget: shortestGapTarget(p.model, demand)}
	var fastest, slowest, gaps, gapEngines, engines, known, streams, batch float64
	for _, e := range p.engines {
		if !e.Alive {
			continue
		}
		engines++
		batch += float64(maxBatch(e))
		streams += float64(e.LongStreams)
		if e.Machine <= 0 {
			continue
		}
		known++
		s.invMean += 1 / e.Machine
		slowest = max(slowest, e.Machine)
		if fastest == 0 || e.Machine < fastest {
			fastest = e.Machine
		}
		if e.SlowGap > 0 {
			gaps += float64(e.SlowGap) / e.Machine
			gapEngines++
		}
	}
	if known == 0 || known < minKnownShare*engines || slowest < unevenRatio*fastest {
		return speeds{}
	}
	s.known = true
	s.invMean /= known
	s.long = streams / (batch / engines * decodeUtilization)
	if gapEngines > 0 {
		s.slowGap = time.Duration(gaps / gapEngines)
	}
	return s
}

// shortestGapTarget returns the strictest limit on the pause between two events of the
// demand for a model, 0 if there is none.
func shortestGapTarget(model string, demand []Demand) time.Duration {
	target := time.Duration(0)
	for _, d := range demand {
		if d.Model == model && d.GapTarget > 0 && (target == 0 || d.GapTarget < target) {
			target = d.GapTarget
		}
	}
	return target
}

// capacity returns the work that an engine does, relative to the mean engine.
func (s *speeds) capacity(e Engine) float64 {
	if !s.known || e.Machine <= 0 {
		return 1
	}
	return 1 / e.Machine / s.invMean
}

// keepsGap reports whether an engine keeps the longest pause even in a slowdown.
func (s *speeds) keepsGap(e Engine) bool {
	return s.known && e.Machine > 0 && s.slowGap > 0 && time.Duration(float64(s.slowGap)*e.Machine) <= s.gapTarget
}

// preferred returns the engines of a role from which one that leaves it is chosen: the
// fastest of the prefill engines and the slowest of the others while long answers run
// in an uneven pool, else all.
func (s *speeds) preferred(now time.Time, p pool, from state.Role, dwell time.Duration) []Engine {
	list := slices.DeleteFunc(slices.Clone(p.engines), func(e Engine) bool {
		return !usable(e) || e.Role != from || now.Sub(e.ChangedAt) < dwell
	})
	known := slices.DeleteFunc(slices.Clone(list), func(e Engine) bool { return e.Machine <= 0 })
	if !s.known || s.long == 0 || len(known) == 0 {
		return list
	}
	fastest, slowest := known[0].Machine, known[0].Machine
	for _, e := range known {
		fastest, slowest = min(fastest, e.Machine), max(slowest, e.Machine)
	}
	return slices.DeleteFunc(known, func(e Engine) bool {
		if from == state.RolePrefill {
			return e.Machine > fastest*classRatio
		}
		return e.Machine < slowest/classRatio
	})
}

// exchange is the second order of an exchange of roles.
type exchange struct {
	first  string // engine of the first order
	change RoleChange
	until  time.Time
}

// finishExchange returns the second order of an exchange once the first one was opened. The
// leader opens none for an engine that fell silent or leaves.
func (f *followPolicy) finishExchange(now time.Time, p pool) (RoleChange, bool) {
	x, found := f.exchanges[p.model]
	if !found {
		return RoleChange{}, false
	}
	if now.After(x.until) {
		delete(f.exchanges, p.model)
		return RoleChange{}, false
	}
	opened := slices.ContainsFunc(p.engines, func(e Engine) bool { return e.Name == x.first && nextRole(e) != x.change.Role })
	if !opened {
		return RoleChange{}, false
	}
	i := slices.IndexFunc(p.engines, func(e Engine) bool { return e.Name == x.change.Engine })
	if i < 0 || !usable(p.engines[i]) || p.engines[i].Role == x.change.Role || p.countServing(p.engines[i].Role) <= f.settings.MinPerRole {
		return RoleChange{}, false
	}
	delete(f.exchanges, p.model)
	return x.change, true
}

// longShortage returns how much capacity for long answers would have been missing over
// the horizon with a number of decode engines that keep their longest pause, in
// weighted engine seconds.
func (n *needHistory) longShortage(keeping int) float64 {
	total := 0.0
	for i := 1; i < len(n.samples); i++ {
		total += decodeShortageWeight * max(0, n.samples[i].long-float64(keeping)) * n.samples[i].at.Sub(n.samples[i-1].at).Seconds()
	}
	return total
}

// busyTime returns the time since the first demand in the horizon.
func (n *needHistory) busyTime() time.Duration {
	last := n.samples[len(n.samples)-1].at
	for _, v := range n.samples {
		if v.prefill+v.decode > 0 {
			return last.Sub(v.at)
		}
	}
	return 0
}

// selectExchange returns the first order of an exchange of a fast prefill engine for a
// slow decode engine, if the long answers of the horizon would have been served better
// by more than two orders cost, and the prompts aren't served worse. Only fast engines move
// to decode, so there is no exchange back.
func (f *followPolicy) selectExchange(now time.Time, p pool, s *speeds, r *roles) (RoleChange, bool) {
	n := f.models[p.model]
	if !s.known || s.long == 0 || p.countServing(state.RolePrefill) <= f.settings.MinPerRole || p.countServing(state.RoleDecode) <= f.settings.MinPerRole {
		return RoleChange{}, false
	}
	fast, found := f.candidate(now, p, state.RolePrefill, s)
	slow, foundSlow := f.candidate(now, p, state.RoleDecode, s)
	if !found || !foundSlow || !s.keepsGap(fast) || s.keepsGap(slow) || slow.Machine < exchangeRatio*fast.Machine {
		return RoleChange{}, false
	}
	short, shortAfter := n.shortage(r.prefill, r.decode), n.shortage(r.prefill-s.capacity(fast)+s.capacity(slow), r.decode)
	current, after := n.longShortage(r.keeping)+short, n.longShortage(r.keeping+1)+shortAfter
	busy := n.busyTime()
	if busy < minBusy {
		return RoleChange{}, false
	}
	// Machines keep their speed, so that what was gained since the first demand is gained
	// over the whole horizon.
	scale := f.settings.Horizon.Seconds() / busy.Seconds()
	if (current-after)*scale <= 2*f.settings.ChangeCost || (shortAfter-short)*scale > f.settings.ChangeCost {
		return RoleChange{}, false
	}
	change := RoleChange{
		Engine: fast.Name, Role: state.RoleDecode,
		Observed: fmt.Sprintf("model %s: long answers need %.1f decode engines that keep pauses below %s in a slowdown, there are %d",
			p.model, s.long, s.gapTarget, r.keeping),
		Compared: fmt.Sprintf("lack of %.1f engine seconds in %s as it is, %.1f after, price %.1f; %s takes %.2f times as long as %s",
			current, f.settings.Horizon, after, 2*f.settings.ChangeCost, slow.Name, slow.Machine/fast.Machine, fast.Name),
		Reason: "exchanged for " + slow.Name,
	}
	second := change
	second.Engine, second.Role, second.Reason = slow.Name, state.RolePrefill, "exchanged for "+fast.Name
	f.exchanges[p.model] = exchange{fast.Name, second, now.Add(exchangeTimeout)}
	return change, true
}
