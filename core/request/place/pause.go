package place

import "time"

const (
	// unevenGaps is how many times longer the longest expected gap between events in a
	// pool must be than the shortest for the gaps to count: those of alike engines
	// differ by less.
	unevenGaps = 1.35
	// maxHelperShare is the largest share of a decode engine's batch slots that a prompt
	// may take there while prefill engines exist: the answers of others wait for the slot
	// for all of the prompt's time. On 28 simulated engines with 8 slots 0.55 of the long
	// prompts were on time with such helpers, 0.72 without; with 12 slots helpers served
	// more, and so they did with 256 slots where a prompt takes a fifth of the memory.
	maxHelperShare = 0.1
	// assumedSlowdown is how many times longer an engine takes in a slowdown before any
	// was observed.
	assumedSlowdown = 2.5
	// slowTTL is how long an engine counts as slowed after the last report of it. While
	// long answers run there, one comes every 200 ms.
	slowTTL = 400 * time.Millisecond
	// slowReportTTL is how long after the last report of a slowdown late prefills count as
	// a sign of one. On fleets without slowdowns, they have other causes.
	slowReportTTL = 30 * time.Second
	// latePrefill is how many times the longest expected time a prefill takes to count
	// as late.
	latePrefill = 1.3
)

// slowdown is the quickly changing part of an engine's speed. It answers loads on
// engines that slow down for some hundred milliseconds: what is sent there meanwhile
// is late.
type slowdown struct {
	until  time.Time // end of the slowdown that the engine is in, as far as known
	late   bool      // the last prefill was late
	slowed bool      // at the time of the current decision
	uneven bool      // at that time, one of engines whose gaps differ
	scarce bool      // at that time, one of the few that keep the pauses of long answers
}

// factor returns how many times longer the engine takes for any work than usual.
func (v *engineView) factor() float64 {
	if !v.slowed {
		return 1
	}
	if r := &v.lastReport; r.EventGap > 0 && r.SlowGap > r.EventGap {
		return float64(r.SlowGap) / float64(r.EventGap)
	}
	return assumedSlowdown
}

// slowStart returns how much later than usual an answer starts in a slowdown.
func (v *engineView) slowStart() time.Duration {
	return time.Duration((v.factor() - 1) * float64(v.startTime))
}

// RecordSlowdown records that an engine is in a slowdown, or that it ended.
func (p *Placer) RecordSlowdown(now time.Time, name string, slow bool) {
	v := p.engines[name]
	if v == nil {
		return
	}
	v.until, v.late = time.Time{}, false
	if slow {
		v.until, p.slowReportedAt = now.Add(slowTTL), now
	}
}

// RecordPace records how long a prefill took at its engine. The second late one in a
// row is a sign of a slowdown, and one in the expected time of its end.
func (p *Placer) RecordPace(now time.Time, req *Request, plan *Plan, took time.Duration) {
	v := p.engines[plan.Prefill.Name]
	if v == nil || took <= 0 || req.Deferred || p.slowReportedAt.IsZero() || now.Sub(p.slowReportedAt) > slowReportTTL {
		return
	}
	seconds := func(tokens int) float64 { return v.prefillDelay.Seconds() + float64(tokens)/v.prefillRate }
	switch {
	case took.Seconds() > latePrefill*seconds(plan.QueuedTokens+req.Prompt.Tokens): // none of it was cached
		if v.late {
			v.until = now.Add(slowTTL)
		}
		v.late = true
	case took.Seconds() <= seconds(plan.QueuedTokens+plan.PrefillTokens):
		v.until, v.late = time.Time{}, false
	}
}

// keepsGap reports whether the engine's events keep a longest pause even in a slowdown.
func (v *engineView) keepsGap(target time.Duration) bool {
	return target > 0 && v.lastReport.SlowGap > 0 && v.lastReport.SlowGap <= target
}

// gapsDiffer reports whether the engines' gaps between events are uneven.
func gapsDiffer(list []*engineView) bool {
	var shortest, longest time.Duration
	for _, v := range list {
		if gap := v.lastReport.EventGap; gap > 0 {
			longest = max(longest, gap)
			if shortest == 0 || gap < shortest {
				shortest = gap
			}
		}
	}
	return float64(longest) > unevenGaps*float64(shortest)
}

// setScarce sets whether the engines of a decision are uneven, and which are scarce for its
// request: for short answers those that keep the pauses of long ones, if others don't.
func (p *Placer) setScarce(req *Request, decode []*engineView, uneven bool) {
	target, long := p.gapTargets[req.Pool], p.isLong(req)
	for _, v := range decode {
		v.uneven = uneven
		v.scarce = uneven && !long && v.keepsGap(target)
	}
}

// suitable returns the decode engines that suit an answer best, all if none does. Long
// answers go to engines that keep their longest pause in a slowdown, if the engines
// differ, and not to ones in a slowdown, as long as there is a free slot.
func (p *Placer) suitable(req *Request, decode []*engineView) []*engineView {
	if req.GapTarget <= 0 || !p.isLong(req) {
		return decode
	}
	uneven := decode[0].uneven // as all of them
	if !uneven && len(keep(decode, notSlowed)) == len(decode) {
		return decode
	}
	free := keep(decode, func(v *engineView) bool {
		return v.spec.BatchSize <= 0 || v.streamsBefore(req)+1 <= v.spec.BatchSize && v.memoryUse() < fullMemoryShare
	})
	keeping := free
	if uneven {
		keeping = keep(free, func(v *engineView) bool { return v.keepsGap(req.GapTarget) })
	}
	for _, list := range [][]*engineView{keep(keeping, notSlowed), keeping, keep(free, notSlowed)} {
		if len(list) > 0 {
			return list
		}
	}
	return decode
}

func notSlowed(v *engineView) bool { return !v.slowed }

// keep returns the engines for which f is true.
func keep(list []*engineView, f func(*engineView) bool) []*engineView {
	var kept []*engineView
	for _, v := range list {
		if f(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// harmful reports whether a prompt that a decode engine computes does more harm there
// than it saves: it takes a large share of the slots, or pauses long answers for longer
// than the routes to the pool allow.
func (p *Placer) harmful(now time.Time, req *Request, v, home *engineView) bool {
	if v.spec.BatchSize > 0 && 1 > maxHelperShare*float64(v.spec.BatchSize) {
		return true
	}
	gap := p.gapTargets[req.Pool]
	if gap <= 0 || v.lastReport.EventGap == 0 || v.ownWork.LongStreams+v.otherWork.LongStreams == 0 {
		return false
	}
	work, _ := v.tokensToCompute(now, req, home)
	pause := v.prefillTime(v.queuedTokens(req) + work)
	return time.Duration(v.factor()*float64(v.lastReport.EventGap))+pause > gap
}
