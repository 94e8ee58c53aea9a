// Package demand generates the request arrivals of a benchmark: a Poisson
// process for each service, with rates that shift over time. The same seed gives
// the same arrivals.
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

// BytesPerToken is the number of prompt bytes that the system counts as one
// token.
const BytesPerToken = 4

// Service describes the requests of one service.
type Service struct {
	Name         string
	Class        state.Class
	Plain        bool
	UniqueTokens int           // prompt tokens that differ between requests
	SharedTokens int           // prompt tokens of the common prefix of a group
	Groups       int           // number of groups with a common prefix
	OutputTokens int           // output tokens
	Deadline     time.Duration // limit of the time to the end of the answer
	TTFTLimit    time.Duration // limit of the time to the first token
}

// Shape is how the rates change within a segment.
type Shape string

// Shapes.
const (
	Steady Shape = "steady"
	Ramp   Shape = "ramp"  // linear from the rates of the segment before
	Swing  Shape = "swing" // alternates between Rates and OtherRates every HalfPeriod
)

// Segment is a time span of a benchmark with one shape of rates.
type Segment struct {
	Name       string
	Shape      Shape
	Length     time.Duration
	Rates      []float64 // requests per second, by service
	OtherRates []float64
	HalfPeriod time.Duration
	Reported   bool // its goodput is reported
}

// Arrival is one request of the workload.
type Arrival struct {
	At      time.Duration
	Service int
	Segment int
	Group   int
	Serial  int
	Seed    int64
}

// RatesAt returns the rates of all services at a time within segment i.
func RatesAt(segments []Segment, i int, at time.Duration) []float64 {
	s := segments[i]
	rates := append([]float64{}, s.Rates...)
	switch s.Shape {
	case Ramp:
		fraction := at.Seconds() / s.Length.Seconds()
		for k := range rates {
			from := segments[i-1].Rates[k]
			rates[k] = from + fraction*(s.Rates[k]-from)
		}
	case Swing:
		if at/s.HalfPeriod%2 == 1 {
			copy(rates, s.OtherRates)
		}
	case Steady:
	}
	return rates
}

// TotalLength returns the total length of all segments.
func TotalLength(segments []Segment) time.Duration {
	total := time.Duration(0)
	for _, s := range segments {
		total += s.Length
	}
	return total
}

// Generate returns Poisson arrivals of all services, ordered by time.
func Generate(services []Service, segments []Segment, seed int64) []Arrival {
	all := make([]Arrival, 0, len(services)*len(segments))
	start := time.Duration(0)
	for i, s := range segments {
		for k, v := range services {
			r := rand.New(rand.NewSource(seed*1_000_003 + int64(i)*1009 + int64(k)))
			all = append(all, drawArrivals(r, segments, i, k, v, start)...)
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

// drawArrivals draws the arrivals of service k in segment i by thinning: it
// draws a Poisson process at the highest rate of the segment and keeps each
// arrival with a probability of the current rate over the highest.
func drawArrivals(r *rand.Rand, segments []Segment, i, k int, v Service, start time.Duration) []Arrival {
	s := segments[i]
	maxRate := s.Rates[k]
	if len(s.OtherRates) > 0 {
		maxRate = math.Max(maxRate, s.OtherRates[k])
	}
	if s.Shape == Ramp {
		maxRate = math.Max(maxRate, segments[i-1].Rates[k])
	}
	var out []Arrival
	for at := time.Duration(0); maxRate > 0; {
		at += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
		if at >= s.Length {
			break
		}
		keep, group := r.Float64(), 0
		if v.Groups > 0 {
			group = r.Intn(v.Groups)
		}
		if keep*maxRate < RatesAt(segments, i, at)[k] {
			out = append(out, Arrival{At: start + at, Service: k, Segment: i, Group: group})
		}
	}
	return out
}

// Prompt returns the prompt of a request: the prefix of its group, then text of
// its own.
func Prompt(v Service, a Arrival) string {
	var b strings.Builder
	appendRepeated(&b, v.SharedTokens*BytesPerToken, fmt.Sprintf("%s group %d seed %d. ", v.Name, a.Group, a.Seed))
	appendRepeated(&b, v.UniqueTokens*BytesPerToken, fmt.Sprintf("request %d. ", a.Serial))
	return b.String()
}

func appendRepeated(b *strings.Builder, n int, text string) {
	end := b.Len() + n
	for b.Len()+len(text) <= end {
		b.WriteString(text)
	}
	b.WriteString(text[:max(0, end-b.Len())])
}

// SharedBlocks returns the number of whole prefix-cache blocks in the shared
// prefix.
func SharedBlocks(v Service) int {
	return v.SharedTokens / engine.BlockTokens
}
