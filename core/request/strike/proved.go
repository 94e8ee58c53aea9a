package strike

// Proved remembers the fingerprints of requests that succeeded not long ago,
// in bounded room. What succeeded is free to go to any engine.
type Proved struct {
	room     int
	now, old map[string]struct{}
}

// NewProved returns a memory of between room and twice as many fingerprints.
func NewProved(room int) *Proved {
	return &Proved{room: room, now: make(map[string]struct{}), old: make(map[string]struct{})}
}

// Add remembers a success.
func (p *Proved) Add(fingerprint string) {
	if _, ok := p.now[fingerprint]; ok {
		return
	}
	if len(p.now) >= p.room {
		p.now, p.old = p.old, p.now
		clear(p.now)
	}
	p.now[fingerprint] = struct{}{}
}

// Forget drops a fingerprint.
func (p *Proved) Forget(fingerprint string) {
	delete(p.now, fingerprint)
	delete(p.old, fingerprint)
}

// Has reports whether a success is remembered.
func (p *Proved) Has(fingerprint string) bool {
	if _, ok := p.now[fingerprint]; ok {
		return true
	}
	_, ok := p.old[fingerprint]
	return ok
}
