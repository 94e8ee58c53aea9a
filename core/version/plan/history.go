package plan

import "time"

const (
	// historyHorizons is the length of the demand history, in horizons.
	historyHorizons = 10
	// historyWeight is the weight of the demand history against the window:
	// earlier mixes of demand are likely to return, and a role change that suits
	// only the current mix would then have to be undone.
	historyWeight = 0.3
)

// demandHistory holds the mean demand of each slice of the last horizons.
type demandHistory struct {
	sliceLength time.Duration
	length      time.Duration
	samples     []loadSample
}

func newDemandHistory(horizon, slice time.Duration) demandHistory {
	return demandHistory{sliceLength: slice, length: historyHorizons * horizon}
}

// add records the mean demand of the slice that ends now. Calls within a slice of
// the last record are ignored.
func (h *demandHistory) add(now time.Time, loads []load) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < h.sliceLength {
		return
	}
	h.samples = append(h.samples, loadSample{now, loads})
	first := 0
	for first < len(h.samples) && now.Sub(h.samples[first].at) >= h.length {
		first++
	}
	h.samples = h.samples[first:]
}

// gain returns the mean gain in goodput, in requests per second, that a change
// would have had over the history.
func (h *demandHistory) gain(before, after capacity) float64 {
	if len(h.samples) == 0 {
		return 0
	}
	total := 0.0
	for _, s := range h.samples {
		total += predictGoodput(after, s.loads) - predictGoodput(before, s.loads)
	}
	return total / float64(len(h.samples))
}
