// Package pace spaces repeated attempts, so that the load of many callers on one that can't
// serve them falls while their attempts fail.
package pace

import "time"

// Backoff is the growing random pause between attempts that fail in a row. Its zero value
// never pauses. It isn't safe for concurrent use.
type Backoff struct {
	first, limit time.Duration
	failures     int
}

// NewBackoff returns a backoff with a mean pause after the first failure, which doubles with
// each further one up to a limit.
func NewBackoff(first, limit time.Duration) Backoff {
	return Backoff{first: first, limit: limit}
}

// Fail records a failed attempt.
func (b *Backoff) Fail() { b.failures++ }

// Reset records a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of attempts that failed in a row.
func (b *Backoff) Failures() int { return b.failures }

// Pause returns the time to wait before the next attempt, given a random number from 0 to 1:
// from half to one and a half times the mean, so that callers that failed together don't
// return together.
func (b *Backoff) Pause(random float64) time.Duration {
	if b.failures == 0 {
		return 0
	}
	return time.Duration((0.5 + random) * float64(Doubled(b.first, b.failures-1, b.limit)))
}

// Doubled returns d doubled n times, but at most limit.
func Doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
