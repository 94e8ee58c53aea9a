// Package bound computes an upper bound of the goodput: the share of requests
// that the best assignment of engine roles, chosen in hindsight, could have
// served. It is a fluid bound: time is cut into slots, and the requests that
// arrived in a slot share the engines' nominal capacity. It leaves out queueing
// within a slot, the time and work of role changes, KV transfers between engines,
// and all prompt tokens that could have come from a cache.
package bound

import (
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/demand"
)

// SlotLength is the length of a slot.
const SlotLength = 2 * time.Second

// Engine is the nominal capacity of one engine.
type Engine struct {
	Prefill float64 // prompt tokens per second
	Decode  float64 // output tokens per second with a full batch
}

// workload is the number of requests and tokens of one service in one slot.
type workload struct {
	requests, prefill, decode float64
}

// Result holds shares of requests that could have been served.
type Result struct {
	Changing            []float64 // by segment, with the best split of roles in each slot
	Total               float64
	Fixed               float64 // with the best fixed split, over all segments
	FixedPrefillEngines int     // prefill engines of the best fixed split
}

// Compute returns the bounds for all arrivals. The number of engines may differ
// by segment.
func Compute(services []demand.Service, segments []demand.Segment, arrivals []demand.Arrival, e Engine, engines []int) Result {
	needs, segment := sumBySlot(services, segments, arrivals)
	offered, fixed := 0.0, make([]float64, engines[0])
	bySegment, served := make([]float64, len(segments)), make([]float64, len(segments))
	for i, slot := range needs {
		s := segment[i]
		best := 0.0
		for p := range engines[0] {
			got := servedRequests(services, slot, e, p, engines[s]-p)
			best = max(best, got)
			fixed[p] += got
		}
		for _, n := range slot {
			bySegment[s] += n.requests
			offered += n.requests
		}
		served[s] += best
	}
	r := Result{Changing: make([]float64, len(segments))}
	total := 0.0
	for s := range segments {
		total += served[s]
		r.Changing[s] = ratio(served[s], bySegment[s])
	}
	r.Total = ratio(total, offered)
	for p, got := range fixed {
		if v := ratio(got, offered); v > r.Fixed {
			r.Fixed, r.FixedPrefillEngines = v, p
		}
	}
	return r
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// sumBySlot returns the workload by slot and service, and the segment of each
// slot. A slot belongs to the segment in which it starts.
func sumBySlot(services []demand.Service, segments []demand.Segment, arrivals []demand.Arrival) ([][]workload, []int) {
	count := int((demand.TotalLength(segments) + SlotLength - 1) / SlotLength)
	needs, segment := make([][]workload, count), make([]int, count)
	for i := range needs {
		needs[i] = make([]workload, len(services))
		segment[i] = segmentAt(segments, time.Duration(i)*SlotLength)
	}
	type group struct{ service, group int }
	seen := make(map[group]bool)
	for _, a := range arrivals {
		v := services[a.Service]
		if v.Plain {
			continue
		}
		n := &needs[int(a.At/SlotLength)][a.Service]
		prompt := v.UniqueTokens + v.SharedTokens
		if seen[group{a.Service, a.Group}] {
			prompt -= demand.SharedBlocks(v) * engine.BlockTokens
		}
		seen[group{a.Service, a.Group}] = true
		n.requests++
		n.prefill += float64(prompt)
		n.decode += float64(v.OutputTokens)
	}
	return needs, segment
}

func segmentAt(segments []demand.Segment, t time.Duration) int {
	for i, s := range segments {
		if t < s.Length {
			return i
		}
		t -= s.Length
	}
	return len(segments) - 1
}

// servedRequests returns the number of requests that a split of engines can
// serve in a slot. Requests of the class "first" are served before those of the
// class "batch". Without engines of a role nothing is served.
func servedRequests(services []demand.Service, slot []workload, e Engine, prefill, decode int) float64 {
	p := float64(prefill) * e.Prefill * SlotLength.Seconds()
	d := float64(max(0, decode)) * e.Decode * SlotLength.Seconds()
	total := 0.0
	for _, class := range []state.Class{state.ClassFirst, state.ClassBatch} {
		for i, n := range slot {
			if services[i].Class != class || n.requests == 0 {
				continue
			}
			fraction := min(1, p/n.prefill, d/n.decode)
			p -= fraction * n.prefill
			d -= fraction * n.decode
			total += fraction * n.requests
		}
	}
	return total
}
