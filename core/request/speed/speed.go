// Package speed learns how fast engines work from the requests that they
// served. It answers loads on engines of unknown speed, and engines that slow
// down while they serve: expected times follow what was observed, at first that
// of the whole group and with enough requests that of the engine itself. It is a
// state machine without I/O.
package speed

import (
	"math"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// maxEngineSeconds bounds the observed time that is kept of an engine, and
	// maxCount the number of prefills and of starts: older observations lose
	// weight as new ones come.
	maxEngineSeconds = 3.0
	maxCount         = 64.0
	// maxGaps bounds the number of gaps between events that are kept of an engine.
	maxGaps = 256.0
	// groupSeconds is the weight of the group in an engine's estimate, as
	// observed time of that engine.
	groupSeconds = 1.0
	// minFit is the number of prefills below which a group's speed is unknown.
	minFit = 4.0
	// minSpread is the least variance of the prefills' tokens, relative to their
	// mean squared, from which the delay can be told from the time of the tokens.
	minSpread = 0.01
	// maxSum bounds the sums that an instance may send: none gets near it between
	// two heartbeats.
	maxSum = 1e9
	// maxTime bounds estimated times.
	maxTime = time.Hour
	// digits is the precision of estimates. Smaller changes aren't worth telling.
	digits = 2
)

// Estimate is what is expected of an engine. Zero means unknown.
type Estimate struct {
	PrefillRate  float64       // prompt tokens per second
	PrefillDelay time.Duration // time of a prefill besides its tokens
	PrefillTime  time.Duration // mean time of a prefill, its wait included
	StartTime    time.Duration // from the request for an answer whose prompt is prefilled elsewhere to its first event
	EventGap     time.Duration // between two events of a long answer
	SlowGap      time.Duration // the same during a slowdown
	GapSeen      bool          // the gaps are the engine's, not only those of its group
	Machine      float64       // time that the machine takes for any work, relative to others of the pool
}

// engine holds the observations of one engine in a group.
type engine struct {
	group   string
	seen    proto.EngineSpeed
	gaps    gapLine
	machine machine
}

// Model holds the observations of all engines. It isn't safe for concurrent use.
type Model struct {
	engines map[string]*engine
	sums    map[string]*groupSums // by group; nil after new observations
}

// New returns a model without observations.
func New() *Model {
	return &Model{engines: make(map[string]*engine)}
}

// Keep removes the engines that aren't named, and assigns the others to groups
// of engines that should be equally fast, and learns the machines' factors. An
// engine that changes its group starts anew but for the factor of its machine.
func (m *Model) Keep(groups map[string]string) {
	for name := range m.engines {
		if _, found := groups[name]; !found {
			delete(m.engines, name)
		}
	}
	for name, group := range groups {
		switch e := m.engines[name]; {
		case e == nil:
			m.engines[name] = &engine{group: group}
		case e.group != group:
			m.engines[name] = &engine{group: group, machine: e.machine.carry()}
		}
	}
	m.sums = nil
	m.learnMachines()
	m.sums = nil
}

// Observe adds observations of engines. Those of unknown engines are dropped.
func (m *Model) Observe(list []proto.EngineSpeed) {
	for i := range list {
		if e := m.engines[list[i].Engine]; e != nil {
			e.observe(&list[i])
			m.sums = nil
		}
	}
}

// groups returns the observations of each group together.
func (m *Model) groups() map[string]*groupSums {
	if m.sums == nil {
		m.sums = make(map[string]*groupSums)
		for _, e := range m.engines {
			if m.sums[e.group] == nil {
				m.sums[e.group] = &groupSums{}
			}
			m.sums[e.group].add(e)
		}
	}
	return m.sums
}

// observe adds observations and reduces the weight of older ones.
func (e *engine) observe(s *proto.EngineSpeed) {
	for _, x := range []float64{
		s.Prefills, s.Tokens, s.Seconds, s.TokensSquared, s.TokensSeconds, s.Starts, s.StartSeconds,
		s.Gaps, s.GapSeconds, s.SlowGaps, s.SlowSeconds, s.Answers,
	} {
		if !(x >= 0 && x <= maxSum) {
			return
		}
	}
	k := &e.seen
	k.Add(s)
	e.machine.fresh.Add(s)
	e.gaps.observe(s)
	e.machine.freshGaps.observe(s)
	if share := min(maxEngineSeconds/max(maxEngineSeconds, k.Seconds), maxCount/max(maxCount, k.Prefills)); share < 1 {
		k.Prefills *= share
		k.Tokens *= share
		k.Seconds *= share
		k.TokensSquared *= share
		k.TokensSeconds *= share
	}
	if share := maxCount / max(maxCount, k.Starts); share < 1 {
		k.Starts *= share
		k.StartSeconds *= share
	}
	if share := maxGaps / max(maxGaps, k.Gaps); share < 1 {
		k.Gaps *= share
		k.GapSeconds *= share
		e.gaps.scale(share, share)
	}
	if share := maxGaps / max(maxGaps, k.SlowGaps); share < 1 {
		k.SlowGaps *= share
		k.SlowSeconds *= share
	}
}

// Estimate returns what is expected of an engine.
func (m *Model) Estimate(name string) Estimate {
	e := m.engines[name]
	if e == nil {
		return Estimate{}
	}
	return m.estimate(e.group, e)
}

// Group returns what is expected of an engine of a group without observations
// of its own.
func (m *Model) Group(group string) Estimate {
	return m.estimate(group, &engine{})
}

// estimate combines the observations of an engine with those of its group.
func (m *Model) estimate(group string, e *engine) Estimate {
	all := m.groups()[group]
	if all == nil {
		all = &groupSums{}
	}
	seen := &e.seen
	v := Estimate{Machine: round(e.machine.trusted())}
	v.EventGap, v.SlowGap = all.gaps(e)
	v.GapSeen = e.seen.Gaps >= minGroupGaps || e.machine.trusted() > 0
	if all.Starts > 0 {
		v.StartTime = roundTime(all.StartSeconds / all.Starts)
	}
	if all.Prefills < minFit || all.Tokens <= 0 || all.Seconds <= 0 {
		return v
	}
	delay, perToken := fit(&all.EngineSpeed)
	expected := delay*seen.Prefills + perToken*seen.Tokens
	slowdown := (seen.Seconds + groupSeconds*all.carriedFactor(e)) / (expected + groupSeconds)
	v.PrefillRate = round(1000 / (perToken * slowdown))
	v.PrefillDelay = roundTime(delay * slowdown)
	v.PrefillTime = roundTime(all.Seconds / max(1, all.Prefills))
	return v
}

// fit returns the line that the times of prefills follow best: a delay and the
// seconds for each 1,000 tokens. With too similar prefills it goes through zero.
func fit(s *proto.EngineSpeed) (delay, perToken float64) {
	spread := s.Prefills*s.TokensSquared - s.Tokens*s.Tokens
	if spread > minSpread*s.Tokens*s.Tokens {
		perToken = (s.Prefills*s.TokensSeconds - s.Tokens*s.Seconds) / spread
		delay = (s.Seconds - perToken*s.Tokens) / s.Prefills
		if perToken > 0 && delay >= 0 {
			return delay, perToken
		}
	}
	return 0, s.Seconds / s.Tokens
}

// round rounds a positive number to the precision of estimates.
func round(x float64) float64 {
	if x <= 0 {
		return 0
	}
	unit := math.Pow10(int(math.Floor(math.Log10(x))) - digits + 1)
	return math.Round(x/unit) * unit
}

func roundTime(seconds float64) time.Duration {
	return time.Duration(round(min(seconds, maxTime.Seconds()) * float64(time.Second)))
}
