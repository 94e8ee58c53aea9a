package place

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/speed"
	"verbenahaven.example/core/version/state"
)

const (
	// maxSlowdown bounds the effect of one observation: how many times longer
	// than expected a prefill counts.
	maxSlowdown = 8
	// answerWeight is the weight of a new answer in the mean time of answers.
	answerWeight = 0.05
)

// RecordPrefill records that the prompt of a request was prefilled and how long
// it took, or on a decode engine the time to its first event. It adjusts the
// expected speed of the engine. Others overtake deferred requests, so their
// times tell only that an engine is faster than expected: one that is believed
// to be too slow for anything else is found out by them.
func (p *Placer) RecordPrefill(req *Request, plan *Plan, took time.Duration) {
	name := plan.Prefill.Name
	if !plan.Split() {
		name = plan.Decode.Name
	}
	v := p.engines[name]
	if v == nil {
		return
	}
	if plan.Split() {
		v.removeWork(req.ID)
		p.takeSlot(req, plan)
	} else if s, found := v.sent[req.ID]; found {
		s.prefillTokens = 0
		v.addWork(req.ID, s)
	}
	expected := plan.QueueWait + v.prefillTime(plan.PrefillTokens)
	if took <= 0 || req.Deferred && took > expected {
		return
	}
	limit := maxSlowdown * expected
	tokens, seconds := float64(plan.QueuedTokens+plan.PrefillTokens)/1000, min(took, limit).Seconds()
	p.observe(&proto.EngineSpeed{
		Engine: name, Prefills: 1, Tokens: tokens, Seconds: seconds, TokensSquared: tokens * tokens, TokensSeconds: tokens * seconds,
	})
}

// RecordStart records the time from the request for an answer whose prompt was
// prefilled elsewhere to its first event. A wait for a slot isn't part of an
// engine's speed, so times with one are ignored.
func (p *Placer) RecordStart(plan *Plan, took time.Duration) {
	if v := p.engines[plan.Decode.Name]; v != nil && plan.Split() && took > 0 && plan.SlotWait == 0 {
		p.observe(&proto.EngineSpeed{Engine: plan.Decode.Name, Starts: 1, StartSeconds: took.Seconds()})
	}
}

// answerTimes is how long answers occupy a batch slot, in the mean.
type answerTimes struct{ short, long time.Duration }

// RecordAnswerTime records how long an answer ran after its first event.
func (p *Placer) RecordAnswerTime(req *Request, took time.Duration) {
	t := p.answerTimes(req.Pool)
	mean := &t.short
	if p.isLong(req) {
		mean = &t.long
	}
	*mean += time.Duration(answerWeight * float64(took-*mean))
	p.answers[req.Pool] = t
}

// RecordLength records the length of a complete answer and returns what was
// predicted: its length, and the one that a tenth of the answers exceed, 0 if
// nothing was learned.
func (p *Placer) RecordLength(now time.Time, req *Request, tokens int) (predicted, high int) {
	p.lengths.Observe(now, req.Pool, req.guess(), tokens)
	return req.OutputTokens(), min(req.length.High, req.Prompt.MaxOutput)
}

// answerTimes returns the mean times of a pool's answers.
func (p *Placer) answerTimes(pool string) answerTimes {
	if t, found := p.answers[pool]; found {
		return t
	}
	return answerTimes{short: assumedShortAnswerTime, long: assumedAnswerTime}
}

// speedGroup returns the name of the group of engines of a pool and role.
func speedGroup(pool string, role state.Role) string {
	return pool + "/" + string(role)
}

// observe adds an observation of an engine.
func (p *Placer) observe(s *proto.EngineSpeed) {
	if total := p.observed[s.Engine]; total != nil {
		total.Add(s)
	} else {
		p.observed[s.Engine] = s
	}
	p.own.Observe([]proto.EngineSpeed{*s})
}

// ObserveSpeed adds an observation that wasn't made by placing requests.
func (p *Placer) ObserveSpeed(s *proto.EngineSpeed) {
	if p.engines[s.Engine] != nil {
		p.observe(s)
	}
}

// TakeSpeeds returns what was observed of the engines since the last call.
func (p *Placer) TakeSpeeds() []proto.EngineSpeed {
	list := make([]proto.EngineSpeed, 0, len(p.observed))
	for _, s := range p.observed {
		list = append(list, *s)
	}
	clear(p.observed)
	slices.SortFunc(list, func(a, b proto.EngineSpeed) int { return cmp.Compare(a.Engine, b.Engine) })
	p.refreshSpeeds()
	return list
}

// LongestGap returns the longest gap that is expected between two events of an answer at
// an engine of a pool that generates answers, 0 if it is unknown.
func (p *Placer) LongestGap(pool string) time.Duration {
	x := p.pools[pool]
	if x == nil {
		return 0
	}
	var longest time.Duration
	for _, v := range x.decode {
		longest = max(longest, v.lastReport.EventGap)
	}
	return longest
}

// GapSeen reports whether the expected gap between two events is that of an engine itself, not
// only of its pool.
func (p *Placer) GapSeen(engine string) bool {
	v := p.engines[engine]
	return v != nil && v.lastReport.GapSeen
}

// refreshSpeeds updates the expected speed of each engine: what its report
// says, else what this instance observed, else what is known of the pool's
// engines of the other role.
func (p *Placer) refreshSpeeds() {
	for pool, x := range p.pools {
		known := map[state.Role]speed.Estimate{
			state.RolePrefill: p.own.Group(speedGroup(pool, state.RolePrefill)),
			state.RoleDecode:  p.own.Group(speedGroup(pool, state.RoleDecode)),
		}
		for _, v := range x.all {
			if r := v.lastReport; r.PrefillRate > 0 || r.StartTime > 0 {
				known[v.engine.Role] = speed.Estimate{PrefillRate: r.PrefillRate, PrefillDelay: r.PrefillDelay, StartTime: r.StartTime}
			}
		}
		prefill, decode := known[state.RolePrefill], known[state.RoleDecode]
		if prefill.PrefillRate == 0 {
			prefill.PrefillRate, prefill.PrefillDelay = cmp.Or(decode.PrefillRate/decodePrefillShare, assumedPrefillRate), decode.PrefillDelay
		}
		if decode.PrefillRate == 0 {
			decode.PrefillRate, decode.PrefillDelay = prefill.PrefillRate*decodePrefillShare, prefill.PrefillDelay
		}
		for _, v := range x.all {
			v.prefillRate, v.prefillDelay = decode.PrefillRate, decode.PrefillDelay
			if v.engine.Role == state.RolePrefill {
				v.prefillRate, v.prefillDelay = prefill.PrefillRate, prefill.PrefillDelay
			}
			if r := v.lastReport; r.PrefillRate > 0 {
				v.prefillRate, v.prefillDelay = r.PrefillRate, r.PrefillDelay
			}
			v.startTime = cmp.Or(v.lastReport.StartTime, decode.StartTime, assumedStartTime)
		}
	}
}
