package plan

import "time"

const (
	// pastHorizons is how many horizons of demand are remembered.
	pastHorizons = 10
	// pastWeight is the weight of the remembered demand against that of the
	// window: mixes that came before are likely to come back, and a move that
	// suits only the present has to be undone then.
	pastWeight = 0.3
)

// past remembers the mean demand of each slice of the last horizons.
type past struct {
	slice  time.Duration
	length time.Duration
	slices []sample
}

func newPast(horizon, slice time.Duration) past {
	return past{slice: slice, length: pastHorizons * horizon}
}

// add takes the mean demand of the slice that ends now, once a slice.
func (p *past) add(now time.Time, loads []load) {
	if n := len(p.slices); n > 0 && now.Sub(p.slices[n-1].at) < p.slice {
		return
	}
	p.slices = append(p.slices, sample{now, loads})
	first := 0
	for first < len(p.slices) && now.Sub(p.slices[first].at) >= p.length {
		first++
	}
	p.slices = p.slices[first:]
}

// gain is the mean gain a second of a change under the remembered demand.
func (p *past) gain(before, after capacity) float64 {
	if len(p.slices) == 0 {
		return 0
	}
	total := 0.0
	for _, s := range p.slices {
		total += goodput(after, s.loads) - goodput(before, s.loads)
	}
	return total / float64(len(p.slices))
}
