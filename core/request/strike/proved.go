package strike

// Proved is a bounded set of the fingerprints of requests that succeeded
// recently. A request in it may be sent to any engine.
type Proved struct {
	capacity          int
	current, previous map[string]struct{}
}

// NewProved returns a set that, once full, holds the latest capacity to
// 2*capacity fingerprints.
func NewProved(capacity int) *Proved {
	return &Proved{capacity: capacity, current: make(map[string]struct{}), previous: make(map[string]struct{})}
}

// Add records a success. When the current generation is full, the previous one
// is dropped.
func (p *Proved) Add(fingerprint string) {
	if _, ok := p.current[fingerprint]; ok {
		return
	}
	if len(p.current) >= p.capacity {
		p.current, p.previous = p.previous, p.current
		clear(p.current)
	}
	p.current[fingerprint] = struct{}{}
}

// Forget removes a fingerprint.
func (p *Proved) Forget(fingerprint string) {
	delete(p.current, fingerprint)
	delete(p.previous, fingerprint)
}

// Has reports whether the set contains a fingerprint.
func (p *Proved) Has(fingerprint string) bool {
	if _, ok := p.current[fingerprint]; ok {
		return true
	}
	_, ok := p.previous[fingerprint]
	return ok
}
