package plan

// capacity is the throughput of a set of engines, in tokens per second.
type capacity struct {
	prefill float64
	decode  float64
}

// maxUtilization is the share of the nominal capacity that can be used while
// deadlines are met: with random arrivals, queues build up before full use.
const maxUtilization = 0.85

// predictGoodput returns the requests per second that can be answered before
// their deadline. Services get capacity in order of their class; each is limited
// by its scarcer phase. It is a fluid model: queues are covered by maxUtilization
// only.
func predictGoodput(c capacity, loads []load) float64 {
	remaining := capacity{c.prefill * maxUtilization, c.decode * maxUtilization}
	total := 0.0
	for _, l := range loads {
		share := min(servedShare(remaining.prefill, l.prefill), servedShare(remaining.decode, l.decode))
		remaining.prefill -= share * l.prefill
		remaining.decode -= share * l.decode
		total += share * l.requests
	}
	return total
}

// derating holds the factors from nominal to actual capacity. For example,
// prompts whose cached prefix was evicted in the meantime need more prefill than
// predicted.
type derating struct {
	prefill float64
	decode  float64
}

const (
	minDerating      = 0.4
	deratingDecay    = 0.97  // per period in which requests are refused contrary to the prediction
	deratingRecovery = 1.002 // per period with few refusals
	highRefusalShare = 0.03  // share of requests
	lowRefusalShare  = 0.01  // share of requests
	fullGoodputShare = 0.99  // share of requests from which all count as servable
)

// update lowers the factor of the busier phase while requests are refused
// although the prediction says that all can be served, and raises both factors
// while few are refused.
func (d *derating) update(c capacity, loads []load) {
	total, refused, prefill, decode := 0.0, 0.0, 0.0, 0.0
	for _, l := range loads {
		total += l.requests
		refused += l.refused
		prefill += l.prefill
		decode += l.decode
	}
	switch {
	case total == 0 || c.prefill == 0 || c.decode == 0:
	case refused < lowRefusalShare*total:
		d.prefill = min(1, d.prefill*deratingRecovery)
		d.decode = min(1, d.decode*deratingRecovery)
	case refused > highRefusalShare*total && predictGoodput(c, loads) >= fullGoodputShare*total:
		if prefill/c.prefill > decode/c.decode {
			d.prefill = max(minDerating, d.prefill*deratingDecay)
		} else {
			d.decode = max(minDerating, d.decode*deratingDecay)
		}
	}
}

// servedShare returns the share of a demand that the available capacity covers.
func servedShare(available, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(1, max(0, available)/demand)
}

// totalRequests returns the requests per second of all services.
func totalRequests(loads []load) float64 {
	n := 0.0
	for _, l := range loads {
		n += l.requests
	}
	return n
}
