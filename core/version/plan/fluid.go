package plan

// capacity is what engines can do a second, in tokens of each phase.
type capacity struct {
	prefill float64
	decode  float64
}

// headroom is the share of the nominal capacity that meets deadlines: random
// arrivals queue before an engine is fully used.
const headroom = 0.85

// goodput predicts the requests a second that are answered in time: services
// share the capacity in order of their class, each limited by its scarcer
// phase. It is a fluid bound with headroom, without queues.
func goodput(c capacity, loads []load) float64 {
	left := capacity{c.prefill * headroom, c.decode * headroom}
	total := 0.0
	for _, l := range loads {
		share := min(part(left.prefill, l.prefill), part(left.decode, l.decode))
		left.prefill -= share * l.prefill
		left.decode -= share * l.decode
		total += share * l.requests
	}
	return total
}

func part(have, want float64) float64 {
	if want <= 0 {
		return 1
	}
	return min(1, max(0, have)/want)
}

func offered(loads []load) float64 {
	n := 0.0
	for _, l := range loads {
		n += l.requests
	}
	return n
}
