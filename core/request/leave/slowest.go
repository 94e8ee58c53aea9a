package leave

import (
	"sync"
	"time"
)

const (
	// slowestWindow is how long a time counts at least.
	slowestWindow = 2 * time.Minute
	// maxKeys bounds the kinds of calls whose times are kept.
	maxKeys = 1024
	// slowestFactor is how many times the slowest recent call one may take.
	slowestFactor = 2
)

// times are those of one kind of calls in the current window and the one before.
type times struct {
	current, previous time.Duration
	since             time.Time // begin of the current window
}

func (t *times) rotate(now time.Time) {
	if now.Sub(t.since) < slowestWindow {
		return
	}
	t.previous = 0
	if now.Sub(t.since) < 2*slowestWindow {
		t.previous = t.current
	}
	t.current, t.since = 0, now
}

// Slowest keeps how long the slowest recent calls of each kind took. It answers calls
// that nothing limits but a distant deadline.
type Slowest[K comparable] struct {
	mutex sync.Mutex
	kinds map[K]*times
}

// NewSlowest returns a Slowest that has seen no call.
func NewSlowest[K comparable]() *Slowest[K] { return &Slowest[K]{kinds: make(map[K]*times)} }

// Observe records how long a call took until it was answered or ended.
func (s *Slowest[K]) Observe(now time.Time, kind K, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.kinds[kind]
	if t == nil {
		if len(s.kinds) >= maxKeys {
			clear(s.kinds)
		}
		t = &times{since: now}
		s.kinds[kind] = t
	}
	t.rotate(now)
	t.current = max(t.current, took)
}

// Bound returns the time within which a call of a kind is expected to end. It isn't known
// without recent calls of the kind.
func (s *Slowest[K]) Bound(now time.Time, kind K) (bound time.Duration, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.kinds[kind]
	if t == nil {
		return 0, false
	}
	t.rotate(now)
	slowest := max(t.current, t.previous)
	return slowestFactor*slowest + pause, slowest > 0
}
