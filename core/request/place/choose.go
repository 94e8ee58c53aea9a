package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sample draws the prefill engines that are compared: some of the nearest, some
// others. The draw differs between requests: what is known of the engines is a
// heartbeat old, and all instances would send to the one that was free then.
func (p *Placer) sample(prefill []*host, a *Ask) []*host {
	if len(prefill) <= sampleNear+sampleFar {
		return prefill
	}
	list := slices.Clone(prefill)
	draws := make(map[*host]uint64, len(list))
	for _, h := range list {
		draws[h] = xxhash.Sum64String(a.ID + "/" + h.engine.Name)
	}
	slices.SortFunc(list, func(x, y *host) int {
		return cmp.Or(cmp.Compare(p.away(x), p.away(y)), cmp.Compare(draws[x], draws[y]))
	})
	near := 0
	for near < len(list) && p.away(list[near]) == 0 {
		near++
	}
	chosen := slices.Clone(list[:min(near, sampleNear)])
	return append(chosen, list[near:min(len(list), near+sampleFar)]...)
}

// reserve returns the decode engines that take long answers. The others may
// prefill long prompts themselves: both on one engine would pause the answers.
// The order is the same at each instance, and goes round the data centres.
func (p *Placer) reserve(decode []*host) []*host {
	turn := make(map[string]int)
	turns := make(map[*host]int, len(decode))
	for _, h := range decode {
		turns[h] = turn[h.engine.Centre]
		turn[h.engine.Centre]++
	}
	order := slices.Clone(decode)
	slices.SortStableFunc(order, func(a, b *host) int { return cmp.Compare(turns[a], turns[b]) })
	long, room := 0, 0.0
	for _, h := range order {
		long += h.own.Long + h.others.Long
	}
	n := 0
	for n < len(order) && (n < min(len(turn), (len(order)+1)/2) || room < float64(long)*reserveShare) {
		room += min(float64(max(1, order[n].spec.Slots))*fillFirst, manyAnswers)
		n++
	}
	return order[:n]
}

// helpers returns the decode engines that may compute a long prompt themselves:
// the homes of its parts and the one with the least to do, as far as they
// aren't reserved for long answers. While all is crowded, a few answers that
// are left from before don't keep an engine from helping.
func (p *Placer) helpers(a *Ask, decode, answers, homes []*host, crowded bool) []*host {
	var list []*host
	var free *host
	for _, h := range decode {
		bear := 0
		if crowded {
			bear = min(fewAnswers, h.spec.Slots/fewShare)
		}
		if h.own.Long+h.others.Long > bear || slices.Contains(answers, h) {
			continue
		}
		if slices.Contains(homes, h) {
			list = append(list, h)
		}
		if free == nil || h.queue(a)+p.away(h) < free.queue(a)+p.away(free) {
			free = h
		}
	}
	if free != nil && !slices.Contains(list, free) {
		list = append(list, free)
	}
	return list
}

// roomiest chooses the engine that decodes a long answer, or one with a short
// prompt: of those reserved for answers, the nearest with room.
func (p *Placer) roomiest(decode, answers []*host, a *Ask) *host {
	var best *host
	var least time.Duration
	for _, h := range decode {
		room := h.room()
		cost := p.away(h) + room
		if p.long(a) {
			cost = p.away(h) + time.Duration(h.streams())*stretchCost + h.crowd()
		}
		if !slices.Contains(answers, h) {
			cost += outsideCost
		}
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	return best
}

// quickest chooses among engines that may decode a short answer; the first are
// preferred.
func (p *Placer) quickest(a *Ask, list []*host) *host {
	var best *host
	var least time.Duration
	for i, h := range list {
		cost := h.wait(a) + time.Duration(i)*strayCost
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	return best
}

// wait is the time until an engine goes on with a prompt that was prefilled
// elsewhere.
func (h *host) wait(a *Ask) time.Duration {
	return h.queue(a) + h.room()
}

// homesOf returns up to two decode engines that should hold the shared parts
// of a prompt: the same at each instance.
func homesOf(decode []*host, a *Ask) []*host {
	key := a.ID
	if parts := a.shared(); len(parts) > 0 {
		key = parts[len(parts)-1].ID
	}
	var first, second *host
	var high, next uint64
	for _, h := range decode {
		n := xxhash.Sum64String(key + "/" + h.engine.Name)
		switch {
		case first == nil || n > high:
			second, next = first, high
			first, high = h, n
		case second == nil || n > next:
			second, next = h, n
		}
	}
	if second == nil {
		return []*host{first}
	}
	return []*host{first, second}
}
