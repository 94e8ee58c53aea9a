package bench

import (
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/demand"
)

// Split returns a deployment that serves long prompts with short answers
// (dossier) beside short interactive requests (counter). Rates are those of
// counter, dossier and the plain service stamp.
func Split() Deployment {
	calm := []float64{75, 6, 5}
	surge := []float64{15, 34, 5}
	return Deployment{
		Name: "split", Engines: 12, PrefillEngines: 6, PlainServers: 3, ChangeCost: 0.05, LagSegment: 7, WithdrawSegment: 9,
		Services: []demand.Service{
			{
				Name: "counter", Class: state.ClassFirst, UniqueTokens: 100, OutputTokens: 20,
				TTFTLimit: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond,
			},
			{
				Name: "dossier", Class: state.ClassBatch, UniqueTokens: 2500, SharedTokens: 4000, Groups: 40, OutputTokens: 10,
				TTFTLimit: 1500 * time.Millisecond, Deadline: 3 * time.Second,
			},
			{Name: "stamp", Class: state.ClassFirst, Plain: true, Deadline: time.Second},
		},
		Segments: trialSegments(calm, surge),
	}
}

// Carpatia returns a deployment that serves short prompts with long answers
// (letter) beside interactive requests with medium prompts (lookup). Rates are
// those of lookup, letter and the plain service claim.
func Carpatia() Deployment {
	calm := []float64{10, 10.5, 3}
	surge := []float64{36, 1.5, 3}
	return Deployment{
		Name: "carpatia", Engines: 10, PrefillEngines: 5, PlainServers: 3, ChangeCost: 0.5, LagSegment: 7, WithdrawSegment: 9,
		Services: []demand.Service{
			{
				Name: "lookup", Class: state.ClassFirst, UniqueTokens: 2800, OutputTokens: 15,
				TTFTLimit: 800 * time.Millisecond, Deadline: 2 * time.Second,
			},
			{
				Name: "letter", Class: state.ClassBatch, UniqueTokens: 200, OutputTokens: 120,
				TTFTLimit: 2 * time.Second, Deadline: 8 * time.Second,
			},
			{Name: "claim", Class: state.ClassFirst, Plain: true, Deadline: time.Second},
		},
		Segments: trialSegments(calm, surge),
	}
}

// trialSegments returns the segments of a benchmark. Most segments that aren't
// reported bring the deployment back to the calm mix.
func trialSegments(calm, surge []float64) []demand.Segment {
	const second = time.Second
	between := make([]float64, len(calm))
	for i := range calm {
		between[i] = (calm[i] + surge[i]) / 2
	}
	back := demand.Segment{Name: "calm", Shape: demand.Steady, Length: 9 * second, Rates: calm}
	return []demand.Segment{
		{Name: "start", Shape: demand.Steady, Length: 5 * second, Rates: calm},
		{Name: "step", Shape: demand.Steady, Length: 14 * second, Rates: surge, Reported: true},
		back,
		{Name: "ramp", Shape: demand.Ramp, Length: 9 * second, Rates: surge, Reported: true},
		{Name: "even", Shape: demand.Steady, Length: 4 * second, Rates: between},
		{Name: "swing", Shape: demand.Swing, Length: 9 * second, Rates: calm, OtherRates: surge, HalfPeriod: 1500 * time.Millisecond, Reported: true},
		back,
		{Name: "lag", Shape: demand.Steady, Length: 10 * second, Rates: surge, Reported: true},
		back,
		{Name: "withdraw", Shape: demand.Steady, Length: 10 * second, Rates: surge, Reported: true},
	}
}

// Overload returns a variant of d whose load is the surge mix: first at its
// normal rate, which is about the capacity, then at twice that rate.
func Overload(d Deployment) Deployment {
	one := d.Segments[1].Rates
	two := make([]float64, len(one))
	for i, r := range one {
		two[i] = 2 * r
	}
	d.Name += "-overload"
	d.LagSegment, d.WithdrawSegment = -1, -1
	d.Segments = []demand.Segment{
		{Name: "start", Shape: demand.Steady, Length: 10 * time.Second, Rates: one},
		{Name: "capacity", Shape: demand.Steady, Length: 12 * time.Second, Rates: one, Reported: true},
		{Name: "twice", Shape: demand.Steady, Length: 12 * time.Second, Rates: two, Reported: true},
	}
	return d
}
