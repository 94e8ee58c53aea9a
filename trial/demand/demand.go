// Package demand makes the arrivals of a trial: requests of several services
// whose rates shift over time. The same seed gives the same arrivals.
package demand

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"strings"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// TokenBytes is the text that the system counts as one prompt token.
const TokenBytes = 4

// Service describes the requests of one service.
type Service struct {
	Name     string
	Class    state.Class
	Plain    bool
	Unique   int // prompt tokens of their own
	Shared   int // prompt tokens that requests of one group share, in front
	Groups   int
	Output   int // tokens of the answer
	Deadline time.Duration
	First    time.Duration
}

// Shape is how rates move through a segment.
type Shape string

// Shapes.
const (
	Steady Shape = "steady"
	Ramp   Shape = "ramp"  // from the rates of the segment before
	Swing  Shape = "swing" // between Rates and Other, every Half
)

// Segment is a part of a trial.
type Segment struct {
	Name   string
	Shape  Shape
	Length time.Duration
	Rates  []float64 // requests a second, by service
	Other  []float64
	Half   time.Duration
	Count  bool // whether its goodput is reported
}

// Arrival is one request.
type Arrival struct {
	At      time.Duration
	Service int
	Segment int
	Group   int
	Serial  int
	Seed    int64
}

// Rates are the rates of all services at a time within segment i.
func Rates(segments []Segment, i int, at time.Duration) []float64 {
	s := segments[i]
	rates := append([]float64{}, s.Rates...)
	switch s.Shape {
	case Ramp:
		part := at.Seconds() / s.Length.Seconds()
		for k := range rates {
			from := segments[i-1].Rates[k]
			rates[k] = from + part*(s.Rates[k]-from)
		}
	case Swing:
		if at/s.Half%2 == 1 {
			copy(rates, s.Other)
		}
	case Steady:
	}
	return rates
}

// Length is the time of all segments.
func Length(segments []Segment) time.Duration {
	total := time.Duration(0)
	for _, s := range segments {
		total += s.Length
	}
	return total
}

// Make draws Poisson arrivals.
func Make(services []Service, segments []Segment, seed int64) []Arrival {
	all := make([]Arrival, 0, len(services)*len(segments))
	start := time.Duration(0)
	for i, s := range segments {
		for k, v := range services {
			r := rand.New(rand.NewSource(seed*1_000_003 + int64(i)*1009 + int64(k)))
			all = append(all, draw(r, segments, i, k, v, start)...)
		}
		start += s.Length
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].At < all[k].At })
	for i := range all {
		all[i].Serial = i
		all[i].Seed = seed
	}
	return all
}

// draw thins a process at the highest rate down to the current one.
func draw(r *rand.Rand, segments []Segment, i, k int, v Service, start time.Duration) []Arrival {
	s := segments[i]
	most := s.Rates[k]
	if len(s.Other) > 0 {
		most = math.Max(most, s.Other[k])
	}
	if s.Shape == Ramp {
		most = math.Max(most, segments[i-1].Rates[k])
	}
	var out []Arrival
	for at := time.Duration(0); most > 0; {
		at += time.Duration(r.ExpFloat64() / most * float64(time.Second))
		if at >= s.Length {
			break
		}
		keep, group := r.Float64(), 0
		if v.Groups > 0 {
			group = r.Intn(v.Groups)
		}
		if keep*most < Rates(segments, i, at)[k] {
			out = append(out, Arrival{At: start + at, Service: k, Segment: i, Group: group})
		}
	}
	return out
}

// Prompt is the text of a request.
func Prompt(v Service, a Arrival) string {
	var b strings.Builder
	fill(&b, v.Shared*TokenBytes, fmt.Sprintf("%s group %d seed %d. ", v.Name, a.Group, a.Seed))
	fill(&b, v.Unique*TokenBytes, fmt.Sprintf("request %d. ", a.Serial))
	return b.String()
}

func fill(b *strings.Builder, n int, text string) {
	end := b.Len() + n
	for b.Len()+len(text) <= end {
		b.WriteString(text)
	}
	b.WriteString(text[:max(0, end-b.Len())])
}

// Pieces is the number of whole cache pieces in the shared part.
func Pieces(v Service) int {
	return v.Shared / engine.PieceTokens
}
