package strike

// generations is a bounded map from fingerprints or causes to values. When the
// current generation is full, the previous one is dropped.
type generations[V any] struct {
	capacity          int
	current, previous map[string]V
}

// newGenerations returns a map that, once full, holds the latest capacity to
// 2*capacity keys.
func newGenerations[V any](capacity int) generations[V] {
	return generations[V]{capacity: capacity, current: make(map[string]V), previous: make(map[string]V)}
}

func (g *generations[V]) put(key string, value V) {
	if _, found := g.current[key]; !found && len(g.current) >= g.capacity {
		g.current, g.previous = g.previous, g.current
		clear(g.current)
	}
	g.current[key] = value
}

func (g *generations[V]) get(key string) (V, bool) {
	if value, found := g.current[key]; found {
		return value, true
	}
	value, found := g.previous[key]
	return value, found
}

func (g *generations[V]) remove(key string) {
	delete(g.current, key)
	delete(g.previous, key)
}

// RecentSuccesses is a bounded set of the fingerprints of requests that
// succeeded recently. A request in it may be sent to any engine.
type RecentSuccesses struct {
	generations[struct{}]
}

// NewRecentSuccesses returns a set that, once full, holds the latest capacity
// to 2*capacity fingerprints.
func NewRecentSuccesses(capacity int) *RecentSuccesses {
	return &RecentSuccesses{newGenerations[struct{}](capacity)}
}

// Add records a success.
func (p *RecentSuccesses) Add(fingerprint string) { p.put(fingerprint, struct{}{}) }

// Remove removes a fingerprint.
func (p *RecentSuccesses) Remove(fingerprint string) { p.remove(fingerprint) }

// Contains reports whether the set contains a fingerprint.
func (p *RecentSuccesses) Contains(fingerprint string) bool {
	_, found := p.get(fingerprint)
	return found
}
