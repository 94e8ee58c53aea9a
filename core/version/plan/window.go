package plan

import (
	"sort"
	"time"

	"verbenahaven.example/core/version/state"
)

// load is the mean demand for one service over an interval.
type load struct {
	service  string
	class    state.Class
	requests float64 // per second
	prefill  float64 // prompt tokens per second
	decode   float64 // output tokens per second
	refused  float64 // requests per second
}

// loadSample is the demand at one time, by service.
type loadSample struct {
	at    time.Time
	loads []load
}

// demandWindow holds the samples of the demand for one model over the last length.
type demandWindow struct {
	length  time.Duration
	samples []loadSample
	start   time.Time // of observation
}

// add appends a sample and drops those older than the window.
func (w *demandWindow) add(now time.Time, loads []load) {
	if w.start.IsZero() {
		w.start = now
	}
	w.samples = append(w.samples, loadSample{now, loads})
	first := 0
	for first < len(w.samples) && now.Sub(w.samples[first].at) >= w.length {
		first++
	}
	w.samples = w.samples[first:]
}

// full reports whether the demand was observed for the whole length.
func (w *demandWindow) full(now time.Time) bool {
	return now.Sub(w.start) >= w.length
}

// mean returns the average of the samples with from < at <= to for each service,
// sorted by class (the first class leads) and name. It returns false if there are
// no samples.
func (w *demandWindow) mean(from, to time.Time) ([]load, bool) {
	sums := make(map[string]load)
	n := 0.0
	for _, s := range w.samples {
		if !s.at.After(from) || s.at.After(to) {
			continue
		}
		n++
		for _, l := range s.loads {
			sum := sums[l.service]
			sum.service, sum.class = l.service, l.class
			sum.requests += l.requests
			sum.prefill += l.prefill
			sum.decode += l.decode
			sum.refused += l.refused
			sums[l.service] = sum
		}
	}
	loads := make([]load, 0, len(sums))
	for _, l := range sums {
		l.requests /= n
		l.prefill /= n
		l.decode /= n
		l.refused /= n
		loads = append(loads, l)
	}
	sort.Slice(loads, func(i, k int) bool {
		if loads[i].class != loads[k].class {
			return loads[i].class == state.ClassFirst
		}
		return loads[i].service < loads[k].service
	})
	return loads, n > 0
}
