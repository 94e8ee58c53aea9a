package speed

import (
	"math"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// assumedSlowRatio is how many times longer the gaps between events are
	// expected to be in a slowdown before minSlowGaps of them were observed.
	assumedSlowRatio = 2.5
	minSlowGaps      = 32.0
	// minGroupGaps is the number of gaps below which a group's gap is unknown, and
	// the weight of the group in the gap of an engine.
	minGroupGaps = 8.0
	// maxStep bounds the effect of one round of observations on the logarithm of a
	// factor: a slowdown of 600 ms within a round moves it by 3% at most.
	maxStep = 0.3
	// roundWeight is the weight of a new round. The first ones weigh more.
	roundWeight = 0.1
	// minRoundSeconds is the least expected time of the work in a round.
	minRoundSeconds = 0.03
	// trustedRounds is the number of rounds from which a factor is trusted. Rounds
	// follow each other at the interval of the instances' reports of speeds, half a
	// second, so it takes about six seconds.
	trustedRounds = 12
	// maxLog bounds the logarithm of a factor.
	maxLog = 3.0
)

// machine is the slowly changing part of an engine's speed: the time that it takes
// for any work, relative to other engines. It holds in every role, so it answers
// loads on machines of uneven speed whose engines change their roles. Slowdowns
// within a round are cut off, so that they hardly move it.
type machine struct {
	log     float64           // logarithm of the factor
	rounds  int               // that it was learned from
	fresh   proto.EngineSpeed // since the last round
	carried bool              // it was learned in another group, at least in part

	freshGaps gapLine // since the last round
}

// carry returns the machine of an engine that has changed its group.
func (a *machine) carry() machine {
	return machine{log: a.log, rounds: a.rounds, carried: a.rounds > 0}
}

func (a *machine) factor() float64 { return math.Exp(a.log) }

// trusted returns the factor, or 0 if too little was observed.
func (a *machine) trusted() float64 {
	if a.rounds < trustedRounds {
		return 0
	}
	return a.factor()
}

// groupSums are the observations of a group, with the factors of its machines
// weighted by work.
type groupSums struct {
	proto.EngineSpeed
	prefillFactors, gapFactors float64
	gapFit                     gapFit  // of machines with factor 1
	slowExpected               float64 // time of the gaps in slowdowns, had there been none
}

func (g *groupSums) add(e *engine) {
	g.Add(&e.seen)
	factor := e.machine.factor()
	g.prefillFactors += e.seen.Tokens * factor
	g.gapFactors += e.seen.Gaps * factor
	line := e.gaps
	line.scale(1, 1/factor)
	g.gapFit.add(&line)
	if e.seen.Gaps >= minGroupGaps {
		g.slowExpected += e.seen.SlowGaps * e.seen.GapSeconds / e.seen.Gaps
	}
}

// relative returns the factor of a machine against the mean one of the work in the
// group, 1 if it is unknown.
func relative(a *machine, factors, work float64) float64 {
	if a.rounds == 0 || work <= 0 || factors <= 0 {
		return 1
	}
	return a.factor() * work / factors
}

// carriedFactor returns how much slower than the group an engine is expected to
// compute prompts by what was observed of it in another role, 1 if nothing was.
func (g *groupSums) carriedFactor(e *engine) float64 {
	if !e.machine.carried {
		return 1
	}
	return relative(&e.machine, g.prefillFactors, g.Tokens)
}

// gaps returns the time that is expected between two events of a long answer, at the
// mean number of answers of the group's engines, and that in a slowdown; zero means
// unknown.
func (g *groupSums) gaps(e *engine) (normal, slow time.Duration) {
	if g.Gaps < minGroupGaps {
		return 0, 0
	}
	factor := e.machine.trusted()
	if factor == 0 {
		factor = g.gapFactors / g.Gaps
	}
	mean := g.gapFit.mean() // at the mean number of answers
	gap := mean * (e.gaps.seconds + minGroupGaps*mean*factor) / (g.gapFit.expected(&e.gaps) + minGroupGaps*mean)
	ratio := assumedSlowRatio
	if g.SlowGaps >= minSlowGaps && g.slowExpected > 0 {
		ratio = max(1, g.SlowSeconds/g.slowExpected)
	}
	return roundTime(gap), roundTime(gap * ratio)
}

// learnMachines adjusts the factors by what was observed since the last round. The
// mean adjustment of a group is taken off: what all its engines have in common is
// the speed of the group. So only engines that changed their groups tell about the
// other group's factors, and a factor means the same in both.
func (m *Model) learnMachines() {
	groups := m.groups()
	type adjustment struct{ sum, count float64 }
	means := make(map[string]adjustment)
	steps := make(map[*engine]float64)
	for _, e := range m.engines {
		step, ok := groups[e.group].step(e)
		if !ok {
			continue
		}
		steps[e] = step
		a := means[e.group]
		means[e.group] = adjustment{a.sum + step, a.count + 1}
	}
	for e, step := range steps {
		a := means[e.group]
		if a.count < 2 {
			continue // nothing to compare with
		}
		change := (step - a.sum/a.count) * max(roundWeight, 1/float64(e.machine.rounds+2))
		e.machine.log = min(max(e.machine.log+change, -maxLog), maxLog)
		e.machine.rounds++
		e.machine.fresh, e.machine.freshGaps = proto.EngineSpeed{}, gapLine{}
	}
}

// step returns by how much the observations since the last round differ from what
// is expected of the machine, as a bounded logarithm. Too few wait for more.
func (g *groupSums) step(e *engine) (float64, bool) {
	fresh, observed, expected := &e.machine.fresh, 0.0, 0.0
	if g.Prefills >= minFit && g.Tokens > 0 && g.Seconds > 0 {
		delay, perToken := fit(&g.EngineSpeed)
		observed += fresh.Seconds
		expected += (delay*fresh.Prefills + perToken*fresh.Tokens) * e.machine.factor() * g.Tokens / g.prefillFactors
	}
	if g.Gaps >= minGroupGaps && g.GapSeconds > 0 {
		observed += fresh.GapSeconds
		expected += g.gapFit.expected(&e.machine.freshGaps) * e.machine.factor()
	}
	if !(expected >= minRoundSeconds) || observed <= 0 {
		return 0, false
	}
	return min(max(math.Log(observed/expected), -maxStep), maxStep), true
}
