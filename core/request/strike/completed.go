package strike

import "time"

// Completions is a bounded record of when answers to requests with certain causes
// were last completed.
type Completions struct {
	capacity          int
	current, previous map[string]time.Time
}

// NewCompletions returns a record that, once full, holds the latest capacity to
// 2*capacity causes.
func NewCompletions(capacity int) *Completions {
	return &Completions{capacity: capacity, current: make(map[string]time.Time), previous: make(map[string]time.Time)}
}

// Add records a completed answer.
func (c *Completions) Add(now time.Time, cause string) {
	if _, found := c.current[cause]; !found && len(c.current) >= c.capacity {
		c.current, c.previous = c.previous, c.current
		clear(c.current)
	}
	c.current[cause] = now
}

// Last returns when an answer was last completed, and whether there was one.
func (c *Completions) Last(cause string) (time.Time, bool) {
	if at, found := c.current[cause]; found {
		return at, true
	}
	at, found := c.previous[cause]
	return at, found
}
