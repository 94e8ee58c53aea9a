package place

import "time"

const (
	// minEjection is how long a backend server is ejected after a failure; each
	// consecutive failure doubles the time, up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// errorWeight is the weight of one answer in the moving average of the
	// error rate.
	errorWeight = 0.1
	// maxErrorRate is the error rate above which a server is ejected.
	maxErrorRate = 0.4
	// errorEjection is how long a server is ejected for its error rate.
	errorEjection = 2 * time.Second
)

// health implements outlier ejection: it excludes a backend server for a while
// by the outcomes of the requests sent to it.
type health struct {
	ejectedUntil time.Time     // end of the last ejection
	ejection     time.Duration // length of the last ejection for a lost connection
	errorRate    float64       // moving average of the share of failed answers
}

// healthy reports whether the server isn't ejected.
func (h *health) healthy(now time.Time) bool { return !now.Before(h.ejectedUntil) }

// recordLoss ejects the server because it was unreachable or the connection
// broke.
func (h *health) recordLoss(now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

// recordAnswer records a successful or a failed answer.
func (h *health) recordAnswer(now time.Time, ok bool) {
	h.ejection = 0
	h.errorRate *= 1 - errorWeight
	if ok {
		return
	}
	h.errorRate += errorWeight
	if h.errorRate > maxErrorRate {
		h.ejectedUntil = now.Add(errorEjection)
		h.errorRate = maxErrorRate / 2 // fewer failures than at first eject it again
	}
}

// RecordLoss ejects an engine because it was unreachable or its connection
// broke.
func (p *Placer) RecordLoss(now time.Time, name string) {
	if v := p.engines[name]; v != nil {
		v.recordLoss(now)
	}
}

// RecordAnswer records a successful or a failed answer of an engine.
func (p *Placer) RecordAnswer(now time.Time, name string, ok bool) {
	if v := p.engines[name]; v != nil {
		v.recordAnswer(now, ok)
	}
}
