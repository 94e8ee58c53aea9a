package retry

import "time"

// windowBuckets is the number of buckets in the sliding window of a shared
// budget. One more is kept so that the sum never covers less than the window.
const windowBuckets = 20

// SharedBudget bounds the total retries of all instances in any sliding window.
// Each instance may use a ratio of the requests that it received itself and an
// equal part of the slack. The instances exchange nothing for this, so an
// instance that is partitioned from the others keeps its part.
type SharedBudget struct {
	window  time.Duration
	ratio   float64
	slack   float64
	windows map[string]*retryWindow
}

// retryWindow counts the requests and retries of one pool in a ring of buckets.
type retryWindow struct {
	buckets [windowBuckets + 1]bucket
	newest  int64 // number of the newest bucket, counted from time 0
}

// bucket holds the counts of one part of the window.
type bucket struct {
	requests, retries int
}

// NewSharedBudget returns an unused budget. Ratio is the number of retries
// allowed per request in a window, slack the number of further retries that all
// instances together may make in it.
func NewSharedBudget(window time.Duration, ratio, slack float64) *SharedBudget {
	return &SharedBudget{window: window, ratio: ratio, slack: slack, windows: make(map[string]*retryWindow)}
}

// SetLimits changes the limits and keeps the counts.
func (s *SharedBudget) SetLimits(window time.Duration, ratio, slack float64) {
	s.window, s.ratio, s.slack = window, ratio, slack
}

// windowAt returns the window of a pool, advanced to the given time.
func (s *SharedBudget) windowAt(now time.Duration, pool string) *retryWindow {
	w := s.windows[pool]
	if w == nil {
		w = &retryWindow{}
		s.windows[pool] = w
	}
	w.advanceTo(int64(now / (s.window / windowBuckets)))
	return w
}

// advanceTo advances the window to a bucket and clears the buckets between.
func (w *retryWindow) advanceTo(to int64) {
	if to-w.newest > windowBuckets {
		w.buckets = [windowBuckets + 1]bucket{}
		w.newest = to
	}
	for w.newest < to {
		w.newest++
		w.buckets[w.newest%(windowBuckets+1)] = bucket{}
	}
}

// RecordRequest counts a caller's request to a pool of backend servers.
func (s *SharedBudget) RecordRequest(now time.Duration, pool string) {
	w := s.windowAt(now, pool)
	w.buckets[w.newest%(windowBuckets+1)].requests++
}

// TryRetry reports whether this instance, one of the given number, may retry a
// request to a pool, and if so counts the retry.
func (s *SharedBudget) TryRetry(now time.Duration, pool string, instances int) bool {
	w := s.windowAt(now, pool)
	requests, retries := 0, 0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	allowed := s.ratio*float64(requests) + s.slack/float64(max(1, instances))
	if float64(retries+1) > allowed {
		return false
	}
	w.buckets[w.newest%(windowBuckets+1)].retries++
	return true
}
