package strike

import "time"

// Completions is a bounded record of when answers to requests with certain causes
// were last completed.
type Completions struct {
	generations[time.Time]
}

// NewCompletions returns a record that, once full, holds the latest capacity to
// 2*capacity causes.
func NewCompletions(capacity int) *Completions {
	return &Completions{newGenerations[time.Time](capacity)}
}

// Add records a completed answer.
func (c *Completions) Add(now time.Time, cause string) { c.put(cause, now) }

// Last returns when an answer was last completed, and whether there was one.
func (c *Completions) Last(cause string) (time.Time, bool) { return c.get(cause) }
