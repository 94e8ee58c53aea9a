package place

import (
	"math"
	"time"
)

const (
	// rejectionWeight is the weight of one request in the moving average of the share
	// that a backend server turns away.
	rejectionWeight = 0.2
	// rejectionHalfLife is the time in which that share halves without requests: a server
	// that was overloaded is tried again within seconds.
	rejectionHalfLife = 2 * time.Second
	// minRejections is the share below which requests count as taken: any rest would decide
	// between servers that are alike otherwise, for 48 s after a single rejection.
	minRejections = 0.02
	// rejectionShare is the cost of an engine that turns all requests away, as a share of
	// the latency target, and plainRejectionCost that of a plain server: more than the
	// cost of another data centre, since a retry takes a round trip and a part of the
	// retry budget.
	rejectionShare     = 0.5
	plainRejectionCost = 100 * time.Millisecond
)

// rejections is the share of requests that a backend server turns away. It answers loads
// that overload some servers while others have room: each request that is turned away takes
// a retry.
type rejections struct {
	share float64
	at    time.Time
}

func (r *rejections) record(now time.Time, rejected bool) {
	r.share = r.current(now) * (1 - rejectionWeight)
	if rejected {
		r.share += rejectionWeight
	}
	r.at = now
}

func (r *rejections) current(now time.Time) float64 {
	share := r.share * math.Exp2(-now.Sub(r.at).Seconds()/rejectionHalfLife.Seconds())
	if share < minRejections {
		return 0
	}
	return share
}

// rejectionCost returns the cost of the requests that the engine turns away.
func (v *engineView) rejectionCost(req *Request) time.Duration {
	return req.share(rejectionShare * v.rejected)
}

// RecordRejection records that an engine turned a request away.
func (p *Placer) RecordRejection(now time.Time, name string) {
	if v := p.engines[name]; v != nil {
		v.rejections.record(now, true)
	}
}

// RecordRejection records that a server turned a request away.
func (s *Servers) RecordRejection(now time.Time, name string) {
	if p := s.byName[name]; p != nil {
		p.rejections.record(now, true)
	}
}
