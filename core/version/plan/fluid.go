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

// trust is how much of the predicted capacity proves true. Cached prompts that
// were evicted meanwhile, for one, make prefill dearer than it was told.
type trust struct {
	prefill float64
	decode  float64
}

const (
	trustLeast    = 0.4
	trustLoss     = 0.97  // each period in which requests are refused against the prediction
	trustGain     = 1.002 // each period without refusals
	refusedMuch   = 0.03  // share of requests
	refusedLittle = 0.01
	servedAll     = 0.99
)

// learn lowers the trust in the busier phase while requests are refused
// although the prediction says that all can be served.
func (t *trust) learn(c capacity, loads []load) {
	all, refused, prefill, decode := 0.0, 0.0, 0.0, 0.0
	for _, l := range loads {
		all += l.requests
		refused += l.refused
		prefill += l.prefill
		decode += l.decode
	}
	switch {
	case all == 0 || c.prefill == 0 || c.decode == 0:
	case refused < refusedLittle*all:
		t.prefill = min(1, t.prefill*trustGain)
		t.decode = min(1, t.decode*trustGain)
	case refused > refusedMuch*all && goodput(c, loads) >= servedAll*all:
		if prefill/c.prefill > decode/c.decode {
			t.prefill = max(trustLeast, t.prefill*trustLoss)
		} else {
			t.decode = max(trustLeast, t.decode*trustLoss)
		}
	}
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
