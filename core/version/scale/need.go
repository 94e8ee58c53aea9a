package scale

import (
	"math"
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

// utilization is the use of the needed engines that is accepted at most of the time, and
// at peaks. The needed ones are those that remain after a loss; before it there are half
// as many again.
type utilization struct{ usual, peak float64 }

var (
	// growAt is the use from which more engines are needed: requests that arrive at
	// random queue up before full use, which short peaks may reach.
	growAt = utilization{0.75, 1}
	// growTo is the use after growth, so that slightly more demand needs no other order.
	growTo = utilization{0.65, 0.9}
	// lowerTo is the use below which some engines aren't needed. It is far from growAt,
	// so that a pool that shrank doesn't grow again.
	lowerTo = utilization{0.5, 0.7}
)

const (
	// usualQuantile separates the usual demand from peaks: an engine that is needed
	// for less time than the rest costs more than it serves.
	usualQuantile = 0.8
	// usualSpan is the least time over which the usual demand is taken. Demand before the
	// first observation counts as zero: a burst in the first seconds isn't usual.
	usualSpan = 20 * time.Second
	// mustShare is the largest share of the needed engines that must remain after a loss
	// also if that takes on-demand engines: these cost several times as much, and a loss
	// lasts for seconds. It applies as it is while the engines' throughput is unknown.
	mustShare = 2.0 / 3
	// mustMargin multiplies the number that must remain, and mustLowered is the share of
	// the last number below which a lower one replaces it.
	mustMargin  = 1.1
	mustLowered = 0.75
	// needMemory is how long peaks of the demand count. Shifts of the demand of 14 s
	// return within it.
	needMemory = 45 * time.Second
	// lowerAfter is the time between two reductions, and lowerShare what one takes away
	// at most: a removed engine loses its cache.
	lowerAfter = 20 * time.Second
	lowerShare = 0.1
	// smoothing is the time over which demand is averaged. Heartbeats of the instances
	// arrive at different times, and their rates are of short intervals.
	smoothing = time.Second
	// refusalWindow is the time over which refusals are counted, longer than a wave of the
	// demand, and refusalShare the share of refused requests from which engines are missing.
	refusalWindow = 5 * time.Second
	refusalShare  = 0.02
	// refusalGrowth limits the growth for refusals beyond what the demand needs by
	// measured throughput: requests may be refused for other reasons.
	refusalGrowth = 1.5
	// refusalPause is the time between two increases for refusals; engines ordered
	// last must serve before the share shows whether more are missing.
	refusalPause = 8 * time.Second
)

// measure is the demand at one time, in fully used engines of mean speed.
type measure struct {
	at              time.Duration
	known           bool // the engines' throughput is known
	prefill, decode float64
	requests        float64
	refused         float64
}

// measureNeed returns the current demand of a pool.
func measureNeed(d *Pool, engines []Engine) measure {
	v := measure{requests: d.RequestRate, refused: d.RefusalRate}
	rates, delays, prefills, streams := 0.0, 0.0, 0.0, 0
	for _, e := range engines {
		if e.Pool != d.Name || !e.Alive {
			continue
		}
		if e.Role == state.RoleDecode {
			streams += e.Streams
		} else if e.PrefillRate > 0 {
			rates, delays, prefills = rates+e.PrefillRate, delays+e.PrefillDelay.Seconds(), prefills+1
		}
	}
	if d.Batch > 0 {
		v.decode = float64(streams) / float64(d.Batch)
	}
	if prefills > 0 {
		v.known = true
		v.prefill = d.PrefillRate*prefills/rates + d.RequestRate*delays/prefills
	}
	return v
}

// needWindow holds the measures of the last needMemory, oldest first.
type needWindow struct {
	start     time.Duration // of the first request
	requested bool          // a request has arrived
	refusedAt time.Duration // last increase for refusals
	samples   []measure

	prefill, decode load // of the samples
	known           bool // the throughput of engines was known in any of them
}

func (w *needWindow) add(now time.Duration, v measure) {
	v.at = now
	if !w.requested && v.requests > 0 {
		w.requested, w.start = true, now
	}
	w.samples = append(w.samples, v)
	first := 0
	for first < len(w.samples) && now-w.samples[first].at >= needMemory {
		first++
	}
	w.samples = w.samples[first:]
	w.prefill = w.loadOf(func(v *measure) float64 { return v.prefill })
	w.decode = w.loadOf(func(v *measure) float64 { return v.decode })
	w.known = slices.ContainsFunc(w.samples, func(v measure) bool { return v.known })
}

// load is the demand of a window in one role.
type load struct{ usual, peak float64 }

// loadOf returns the smoothed demand in one role.
func (w *needWindow) loadOf(value func(v *measure) float64) load {
	smoothed := make([]float64, 0, len(w.samples))
	first, sum := 0, 0.0
	for i := range w.samples {
		sum += value(&w.samples[i])
		for w.samples[i].at-w.samples[first].at >= smoothing {
			sum -= value(&w.samples[first])
			first++
		}
		smoothed = append(smoothed, sum/float64(i-first+1))
	}
	if len(smoothed) == 0 {
		return load{}
	}
	slices.Sort(smoothed)
	last := len(smoothed) - 1
	// Of the time that the samples are short of usualSpan, all had a lower demand.
	seen := w.samples[last].at - w.samples[0].at
	above := (1 - usualQuantile) * max(1, usualSpan.Seconds()/max(seen.Seconds(), smoothing.Seconds()))
	usual := 0.0
	if above < 1 {
		usual = smoothed[int((1-above)*float64(last))]
	}
	return load{usual: usual, peak: smoothed[last]}
}

// engines returns the number of engines for the demand in both roles. Their highest values
// count also if they are of different times, since the engines' roles don't follow short
// shifts.
func (w *needWindow) engines(u utilization) int {
	return int(math.Ceil(max((w.prefill.usual+w.decode.usual)/u.usual, (w.prefill.peak+w.decode.peak)/u.peak)))
}

// refusedShare returns the share of requests that were refused in the last duration d.
func (w *needWindow) refusedShare(now, d time.Duration) float64 {
	requests, refused := 0.0, 0.0
	for _, v := range w.samples {
		if now-v.at < d {
			requests, refused = requests+v.requests, refused+v.refused
		}
	}
	if requests == 0 {
		return 0
	}
	return min(1, refused/requests)
}

// updateNeed raises the number of needed engines at once, and lowers it slowly after the
// demand was lower for needMemory.
func (p *pool) updateNeed(now time.Duration, d *Pool, f *fleet) {
	least, most := d.Bounds.Min*len(f.centres), d.Bounds.Max*len(f.centres)
	target := p.needed
	if p.need.known && p.need.engines(growAt) > target {
		target = p.need.engines(growTo)
	}
	target = max(target, p.refusalNeed(now, f, target))
	low := max(1, p.need.engines(lowerTo))
	seen := p.need.requested && now-p.need.start >= needMemory
	if target == p.needed && p.need.known && seen && low < target && now >= p.lowerAt && p.need.refusedShare(now, needMemory) < refusalShare {
		target = max(low, target-max(1, int(lowerShare*float64(target))))
		p.lowerAt = now + lowerAfter
	}
	if target > p.needed {
		p.lowerAt = now + needMemory
	}
	p.needed = max(1, least, min(target, most))
	p.updateMust()
}

// updateMust sets the number of engines that must remain after a loss also if that takes
// on-demand engines. It is lowered only when the demand is clearly lower, since each change
// orders on-demand engines.
func (p *pool) updateMust() {
	most := int(math.Ceil(mustShare * float64(p.needed)))
	must := most
	if p.need.known {
		must = p.need.engines(utilization{1, math.Inf(1)})
	}
	if must > p.must || float64(must) < mustLowered*float64(p.must) {
		p.must = int(math.Ceil(mustMargin * float64(must)))
	}
	p.must = min(p.must, most)
}

// refusalNeed returns the number of engines needed if requests are refused although the
// current number serves, else 0: throughput that was measured on other prompts may be too
// high.
func (p *pool) refusalNeed(now time.Duration, f *fleet, current int) int {
	share := p.need.refusedShare(now, refusalWindow)
	if f.serving() < current || share < refusalShare || p.need.refusedAt > 0 && now-p.need.refusedAt < refusalPause {
		return 0
	}
	limit := float64(current)
	if p.need.known {
		limit = max(limit, float64(p.need.engines(growTo))*refusalGrowth)
	}
	p.need.refusedAt = now
	return int(math.Ceil(min(float64(current)*min(1/(1-min(share, 0.5)), refusalGrowth), limit)))
}
