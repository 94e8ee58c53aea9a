package place

import "time"

const (
	// firstBan is how long a backend server that failed is left out; each
	// failure in a row doubles it up to lastBan.
	firstBan = 300 * time.Millisecond
	lastBan  = 4 * time.Second
	// errorWeight is the weight of one outcome in the share of failures.
	errorWeight = 0.1
	// errorLimit is the share of failures from which a server is left out.
	errorLimit = 0.4
	// errorBan is how long.
	errorBan = 2 * time.Second
)

// health is what requests showed of a backend server.
type health struct {
	until time.Time // left out before it
	ban   time.Duration
	share float64 // of failures
}

func (h *health) healthy(now time.Time) bool { return !now.Before(h.until) }

// lost notes that the server couldn't be reached or broke off.
func (h *health) lost(now time.Time) {
	h.ban = min(max(2*h.ban, firstBan), lastBan)
	h.until = now.Add(h.ban)
}

// answered notes an answer, good or not.
func (h *health) answered(now time.Time, good bool) {
	h.ban = 0
	h.share *= 1 - errorWeight
	if good {
		return
	}
	h.share += errorWeight
	if h.share > errorLimit {
		h.until = now.Add(errorBan)
		h.share = errorLimit / 2 // on probation
	}
}

// Lost notes that an engine couldn't be reached or broke off.
func (p *Placer) Lost(now time.Time, name string) {
	if h := p.hosts[name]; h != nil {
		h.lost(now)
	}
}

// Answered notes an engine's answer, good or not.
func (p *Placer) Answered(now time.Time, name string, good bool) {
	if h := p.hosts[name]; h != nil {
		h.answered(now, good)
	}
}
