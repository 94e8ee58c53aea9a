// Package admit decides at once whether a request can make its deadline, so
// that one which can't is refused while its caller can still go elsewhere.
package admit

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// Priorities at the engines; lower is served earlier.
const (
	PriorityFirst = 0
	PriorityBatch = 10
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadline Reason = "deadline" // it would miss its deadline
	ReasonRoom     Reason = "no_room"  // what is free is reserved for the first class
)

const (
	// reserve is the share of the engines' room that only the first class
	// may use.
	reserve = 0.1
	// minRetry and maxRetry bound what callers are told to wait.
	minRetry = 50 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Priority maps a class to the engines' priorities.
func Priority(c state.Class) int {
	if c == state.ClassFirst {
		return PriorityFirst
	}
	return PriorityBatch
}

// Case is what the decision needs to know.
type Case struct {
	Class   state.Class
	First   time.Duration // expected time to the first token
	Step    time.Duration // expected time between tokens
	Output  int           // expected tokens
	Limit   time.Duration // until the first token is due; 0 for none
	Left    time.Duration // until the whole answer is due; 0 for none
	Streams int           // running and waiting on all engines of the model
	Room    int           // streams that these engines can run at once
}

// Decide returns no reason for a request that is admitted. For one that is
// refused it returns when the queue will have become short enough.
func Decide(c Case) (Reason, time.Duration) {
	if c.Limit > 0 && c.First > c.Limit {
		return ReasonDeadline, retry(c.First - c.Limit)
	}
	whole := c.First + c.Step*time.Duration(max(c.Output-1, 0))
	if c.Left > 0 && whole > c.Left {
		return ReasonDeadline, retry(whole - c.Left)
	}
	if c.Class == state.ClassFirst || c.Room == 0 {
		return "", 0
	}
	free := int(float64(c.Room) * (1 - reserve))
	if c.Streams >= max(free, 1) && c.Left > 0 && whole > c.Left/2 {
		over := c.Streams - free + 1
		return ReasonRoom, retry(time.Duration(over) * c.Step * time.Duration(max(c.Output, 1)) / time.Duration(c.Room))
	}
	return "", 0
}

func retry(d time.Duration) time.Duration {
	return min(max(d, minRetry), maxRetry)
}
