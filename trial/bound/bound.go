// Package bound computes what the best choice of roles in hindsight could have
// served. It is a fluid bound: time is cut into slots, and in each slot the
// requests that arrived share the engines' nominal capacity. It leaves out
// queues within a slot, the time and work of role changes, transfers between
// engines, and all prompt tokens that could have come from a cache.
package bound

import (
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/demand"
)

// Slot is the length of a slot.
const Slot = 2 * time.Second

// Engine is the nominal capacity of one engine.
type Engine struct {
	Prefill float64 // prompt tokens a second
	Decode  float64 // output tokens a second with a full batch
}

// need is what the arrivals of one service in one slot ask for.
type need struct {
	requests, prefill, decode float64
}

// Result is the share of requests that could have been served.
type Result struct {
	Changing []float64 // by segment, roles chosen anew in each slot
	Total    float64
	Fixed    float64 // the best split that never changes, over all segments
	Prefill  int     // its prefill engines
}

// Compute bounds the goodput of all arrivals. The number of engines may differ
// by segment.
func Compute(services []demand.Service, segments []demand.Segment, arrivals []demand.Arrival, e Engine, engines []int) Result {
	needs, segment := slots(services, segments, arrivals)
	offered, fixed := 0.0, make([]float64, engines[0])
	bySegment, served := make([]float64, len(segments)), make([]float64, len(segments))
	for i, slot := range needs {
		s := segment[i]
		best := 0.0
		for p := range engines[0] {
			got := serve(services, slot, e, p, engines[s]-p)
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
		r.Changing[s] = share(served[s], bySegment[s])
	}
	r.Total = share(total, offered)
	for p, got := range fixed {
		if v := share(got, offered); v > r.Fixed {
			r.Fixed, r.Prefill = v, p
		}
	}
	return r
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// slots sums the arrivals. A slot belongs to the segment in which it starts.
func slots(services []demand.Service, segments []demand.Segment, arrivals []demand.Arrival) ([][]need, []int) {
	count := int((demand.Length(segments) + Slot - 1) / Slot)
	needs, segment := make([][]need, count), make([]int, count)
	for i := range needs {
		needs[i] = make([]need, len(services))
		segment[i] = at(segments, time.Duration(i)*Slot)
	}
	type group struct{ service, group int }
	seen := make(map[group]bool)
	for _, a := range arrivals {
		v := services[a.Service]
		if v.Plain {
			continue
		}
		n := &needs[int(a.At/Slot)][a.Service]
		prompt := v.Unique + v.Shared
		if seen[group{a.Service, a.Group}] {
			prompt -= demand.Pieces(v) * engine.PieceTokens
		}
		seen[group{a.Service, a.Group}] = true
		n.requests++
		n.prefill += float64(prompt)
		n.decode += float64(v.Output)
	}
	return needs, segment
}

func at(segments []demand.Segment, t time.Duration) int {
	for i, s := range segments {
		if t < s.Length {
			return i
		}
		t -= s.Length
	}
	return len(segments) - 1
}

// serve is the number of requests that a split can serve in a slot, first
// class first. Below no engines of a role nothing is served.
func serve(services []demand.Service, slot []need, e Engine, prefill, decode int) float64 {
	p := float64(prefill) * e.Prefill * Slot.Seconds()
	d := float64(max(0, decode)) * e.Decode * Slot.Seconds()
	total := 0.0
	for _, class := range []state.Class{state.ClassFirst, state.ClassBatch} {
		for i, n := range slot {
			if services[i].Class != class || n.requests == 0 {
				continue
			}
			part := min(1, p/n.prefill, d/n.decode)
			p -= part * n.prefill
			d -= part * n.decode
			total += part * n.requests
		}
	}
	return total
}
