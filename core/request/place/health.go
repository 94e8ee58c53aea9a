package place

import (
	"slices"
	"time"
)

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
	// maxReporters bounds the instances that are remembered to have reported a
	// loss.
	maxReporters = 64
)

// health implements outlier ejection: it excludes a backend server for a while
// by the outcomes of the requests sent to it.
type health struct {
	lostUntil    time.Time     // end of the last ejection for a lost connection
	lostBy       []string      // instances that reported the loss
	ejection     time.Duration // length of that ejection
	failingUntil time.Time     // end of the last ejection for the error rate
	errorRate    float64       // moving average of the share of failed answers
	rejections   rejections
}

// healthy reports whether the server isn't ejected.
func (h *health) healthy(now time.Time) bool {
	return !now.Before(h.lostUntil) && !now.Before(h.failingUntil)
}

// recordLoss ejects the server because an instance couldn't reach it or the
// connection broke.
func (h *health) recordLoss(now time.Time, by string) {
	if !now.Before(h.lostUntil) {
		h.lostBy = h.lostBy[:0]
	}
	if len(h.lostBy) < maxReporters && !slices.Contains(h.lostBy, by) {
		h.lostBy = append(h.lostBy, by)
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.lostUntil = now.Add(h.ejection)
}

// withdrawLoss ends the ejection for a lost connection that only the given
// instance reported.
func (h *health) withdrawLoss(by string) {
	others := slices.DeleteFunc(h.lostBy, func(name string) bool { return name == by })
	if len(others) == 0 && len(h.lostBy) > 0 {
		h.ejection, h.lostUntil = 0, time.Time{}
	}
	h.lostBy = others
}

// recordAnswer records a successful or a failed answer.
func (h *health) recordAnswer(now time.Time, ok bool) {
	h.ejection = 0
	h.errorRate *= 1 - errorWeight
	if ok {
		h.rejections.record(now, false)
		return
	}
	h.errorRate += errorWeight
	if h.errorRate > maxErrorRate {
		h.failingUntil = now.Add(errorEjection)
		h.errorRate = maxErrorRate / 2 // fewer failures than at first eject it again
	}
}

// RecordLoss ejects an engine because an instance couldn't reach it or its
// connection broke.
func (p *Placer) RecordLoss(now time.Time, name, by string) {
	if v := p.engines[name]; v != nil {
		v.recordLoss(now, by)
	}
}

// WithdrawLoss ends the ejection of an engine for a loss that no other instance
// reported.
func (p *Placer) WithdrawLoss(name, by string) {
	if v := p.engines[name]; v != nil {
		v.withdrawLoss(by)
	}
}

// RecordAnswer records a successful or a failed answer of an engine.
func (p *Placer) RecordAnswer(now time.Time, name string, ok bool) {
	if v := p.engines[name]; v != nil {
		v.recordAnswer(now, ok)
	}
}
