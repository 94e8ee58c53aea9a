package strike

// RecentSuccesses is a bounded set of the fingerprints of requests that
// succeeded recently. A request in it may be sent to any engine.
type RecentSuccesses struct {
	capacity          int
	current, previous map[string]struct{}
}

// NewRecentSuccesses returns a set that, once full, holds the latest capacity
// to 2*capacity fingerprints.
func NewRecentSuccesses(capacity int) *RecentSuccesses {
	return &RecentSuccesses{capacity: capacity, current: make(map[string]struct{}), previous: make(map[string]struct{})}
}

// Add records a success. When the current generation is full, the previous one
// is dropped.
func (p *RecentSuccesses) Add(fingerprint string) {
	if _, ok := p.current[fingerprint]; ok {
		return
	}
	if len(p.current) >= p.capacity {
		p.current, p.previous = p.previous, p.current
		clear(p.current)
	}
	p.current[fingerprint] = struct{}{}
}

// Remove removes a fingerprint.
func (p *RecentSuccesses) Remove(fingerprint string) {
	delete(p.current, fingerprint)
	delete(p.previous, fingerprint)
}

// Contains reports whether the set contains a fingerprint.
func (p *RecentSuccesses) Contains(fingerprint string) bool {
	if _, ok := p.current[fingerprint]; ok {
		return true
	}
	_, ok := p.previous[fingerprint]
	return ok
}
