package place

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/request/rank"
)

// lostPartDivisor divides the time to compute shared parts on a decode engine
// into the cost of not keeping them at their home engine: half of them are used
// again before they leave the cache, and a prefill engine takes half the time.
const lostPartDivisor = 4

// samplePrefill returns the prefill engines to compare: some in the own data
// centre, some in others. The selection is by a hash that differs between
// requests: the known load is as old as the last heartbeat, and with the same
// selection all instances would send to the engine that was idle then.
func (p *Placer) samplePrefill(prefill []*engineView, req *Request) []*engineView {
	if len(prefill) <= sampleLocal+sampleRemote {
		return prefill
	}
	local, remote := make([]candidate, 0, len(prefill)), make([]candidate, 0, len(prefill))
	hasher := rank.NewHasher(req.ID)
	for _, v := range prefill {
		c := candidate{v, hasher.Hash(v.engine.Name)}
		if v.engine.Centre == p.centre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	sample := sampleLocal
	if p.exact {
		sample = len(local)
	}
	return append(lowest(local, sample), lowest(remote, sampleRemote)...)
}

// candidate is an engine with the hash by which it is selected.
type candidate struct {
	view *engineView
	hash uint64
}

// lowest returns the n engines with the lowest hashes, in their order.
func lowest(list []candidate, n int) []*engineView {
	n = min(n, len(list))
	if n > sampleLocal {
		slices.SortFunc(list, func(x, y candidate) int { return cmp.Compare(x.hash, y.hash) })
	} else { // cheaper for few
		selectLowest(list, n)
	}
	views := make([]*engineView, 0, n+sampleRemote)
	for _, c := range list[:n] {
		views = append(views, c.view)
	}
	return views
}

// selectLowest moves the n candidates with the lowest hashes to the front, in their order.
func selectLowest(list []candidate, n int) {
	for i := range n {
		least := i
		for k := i + 1; k < len(list); k++ {
			if list[k].hash < list[least].hash {
				least = k
			}
		}
		list[i], list[least] = list[least], list[i]
	}
}

// reserveForLong returns the decode engines that are reserved for long answers.
// The others may prefill long prompts themselves; on one engine, such a prefill
// would pause the long answers. All instances use the same order, which
// alternates between the data centres; engines that keep the pool's longest pause in
// a slowdown come first if others don't.
func (p *Placer) reserveForLong(decode []*engineView, gapTarget time.Duration, uneven bool) []*engineView {
	type ranked struct {
		view *engineView
		rank int // in its data centre
	}
	centreCount := make(map[string]int)
	ranks := make([]ranked, 0, len(decode))
	for _, v := range decode {
		ranks = append(ranks, ranked{v, centreCount[v.engine.Centre]})
		centreCount[v.engine.Centre]++
	}
	first := func(r ranked) bool { return uneven && r.view.keepsGap(gapTarget) }
	slices.SortStableFunc(ranks, func(a, b ranked) int {
		return cmp.Or(rank.Bools(first(b), first(a)), cmp.Compare(a.rank, b.rank))
	})
	order := make([]*engineView, 0, len(decode))
	for _, r := range ranks {
		order = append(order, r.view)
	}
	longAnswers, capacity := 0, 0.0
	for _, v := range order {
		longAnswers += v.ownWork.LongStreams + v.otherWork.LongStreams
	}
	reserved := 0
	for reserved < len(order) && (reserved < min(len(centreCount), (len(order)+1)/2) || capacity < float64(longAnswers)*reserveFactor) {
		capacity += min(float64(max(1, order[reserved].spec.BatchSize))*reservedFill, maxLongAnswers)
		reserved++
	}
	return order[:reserved]
}

// prefillHelpers returns the decode engines that may prefill a long prompt
// themselves: the home engines of its parts and the one with the shortest
// queue, unless they are reserved for long answers or still run some. While the
// prefill engines are crowded, a few remaining long answers don't exclude an
// engine.
func (p *Placer) prefillHelpers(req *Request, decode, reserved, homes []*engineView, crowded bool) []*engineView {
	var helpers []*engineView
	var idlest *engineView
	for _, v := range decode {
		tolerated := 0
		if crowded {
			tolerated = min(maxPausedAnswers, v.spec.BatchSize/slotsPerPausedAnswer)
		}
		if v.ownWork.LongStreams+v.otherWork.LongStreams > tolerated || slices.Contains(reserved, v) {
			continue
		}
		if slices.Contains(homes, v) {
			helpers = append(helpers, v)
		}
		if idlest == nil || v.queueWait(req)+p.distanceCost(req, v) < idlest.queueWait(req)+p.distanceCost(req, idlest) {
			idlest = v
		}
	}
	if idlest != nil && !slices.Contains(helpers, idlest) {
		helpers = append(helpers, idlest)
	}
	return helpers
}

// leastLoaded returns the engine with the least cost by distance and load: the
// one that decodes a long answer or any answer to a short prompt, and a
// candidate for other answers. Engines that aren't reserved for long answers
// cost extra.
func (p *Placer) leastLoaded(decode, reserved []*engineView, req *Request) *engineView {
	var best *engineView
	var lowest time.Duration
	for _, v := range p.suitable(req, decode) {
		cost := p.distanceCost(req, v) + p.answerCost(req, v)
		if v.scarce || !slices.Contains(reserved, v) {
			cost += req.share(unreservedShare)
		}
		if best == nil || cost < lowest {
			best, lowest = v, cost
		}
	}
	return best
}

// answerCost returns the cost of decoding an answer on an engine. Long answers
// go where few others run, since each slows down all.
func (p *Placer) answerCost(req *Request, v *engineView) time.Duration {
	cost := v.rejectionCost(req)
	if p.isLong(req) {
		return cost + time.Duration(v.streams())*req.share(sharedStepShare) + v.admissionWait(req, p.answerTimes(req.Pool))
	}
	return cost + v.loadCost(req, p.answerTimes(req.Pool))
}

// earliestDecode returns the engine of a list that can decode the answer to a
// long prompt soonest: its home engines, then any other. Each further one costs
// more, since shared parts at it can't be fetched by other requests: a long
// prompt's parts stay cached at the engine that decodes the answer.
func (p *Placer) earliestDecode(req *Request, list []*engineView) *engineView {
	var best *engineView
	var lowest time.Duration
	for i, v := range list {
		cost := v.queueWait(req) + v.slowStart() + p.answerCost(req, v) + time.Duration(i)*v.computeTime(req.sharedTokens())/lostPartDivisor
		if best == nil || cost < lowest {
			best, lowest = v, cost
		}
	}
	return best
}

// decodeStart returns the expected wait until an engine starts decoding after a
// prompt was prefilled elsewhere. That doesn't wait for the prompts in the engine's own
// prefill queue: with that wait, 219 ms were expected and 83 ms seen. On uneven engines the
// wait counts: without it, more prompts are admitted beside long answers, and
// fewer of these keep their pauses (0.863 instead of 0.909 in trial/flow).
func (p *Placer) decodeStart(req *Request, v *engineView) time.Duration {
	wait := v.slowStart() + v.loadCost(req, p.answerTimes(req.Pool))
	if v.uneven {
		wait += v.queueWait(req)
	}
	return wait
}

// homeKey returns the key that selects the home engines of a prompt.
func homeKey(req *Request) string {
	if parts := req.sharedParts(); len(parts) > 0 {
		return parts[len(parts)-1].ID
	}
	return req.ID
}

// homeEngines returns the home engines of a prompt: up to two decode engines
// that should hold its shared parts. They are selected by rendezvous hashing,
// so all instances agree on them.
func homeEngines(decode []*engineView, req *Request) []*engineView {
	hasher := rank.NewHasher(homeKey(req))
	var first, second *engineView
	var highest, secondHighest uint64
	for _, v := range decode {
		hash := hasher.Hash(v.engine.Name)
		switch {
		case first == nil || hash > highest:
			second, secondHighest = first, highest
			first, highest = v, hash
		case second == nil || hash > secondHighest:
			second, secondHighest = v, hash
		}
	}
	if second == nil {
		return []*engineView{first}
	}
	return []*engineView{first, second}
}
