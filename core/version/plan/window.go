package plan

import (
	"sort"
	"time"

	"verbenahaven.example/core/version/state"
)

// load is the mean demand for one service in some interval.
type load struct {
	service  string
	class    state.Class
	requests float64
	prefill  float64
	decode   float64
	refused  float64
}

type sample struct {
	at    time.Time
	loads []load
}

// window keeps the demand for one model over the time in which a change must
// pay back.
type window struct {
	length  time.Duration
	samples []sample
	start   time.Time // of observation
}

func (w *window) add(now time.Time, loads []load) {
	if w.start.IsZero() {
		w.start = now
	}
	w.samples = append(w.samples, sample{now, loads})
	first := 0
	for first < len(w.samples) && now.Sub(w.samples[first].at) >= w.length {
		first++
	}
	w.samples = w.samples[first:]
}

// full tells whether the whole length was observed.
func (w *window) full(now time.Time) bool {
	return now.Sub(w.start) >= w.length
}

// mean averages the samples with from < at <= to, by service; first class
// first, then by name. False if there are none.
func (w *window) mean(from, to time.Time) ([]load, bool) {
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
