// Package admit implements admission control. It decides on arrival whether a
// request can meet its deadline and rejects it immediately if not, while its
// caller can still use another service.
package admit

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// Scheduling priorities at the engines; the lowest value is served first.
const (
	PriorityFirst = 0
	PriorityBatch = 10
)

// Reason is the cause of a rejection.
type Reason string

// Reasons for rejections.
const (
	ReasonDeadline   Reason = "deadline" // the request would miss its deadline
	ReasonNoCapacity Reason = "no_room"  // the free capacity is reserved for the first class
)

const (
	// reservedShare is the share of the engines' capacity that is reserved for
	// the first class.
	reservedShare = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which callers are
	// told to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Priority returns the scheduling priority of a class at the engines.
func Priority(c state.Class) int {
	if c == state.ClassFirst {
		return PriorityFirst
	}
	return PriorityBatch
}

// Input is the input of an admission decision: a request, the latency expected
// for it and the load of the model's engines.
type Input struct {
	Class        state.Class
	TTFT         time.Duration // expected time to the first token
	TPOT         time.Duration // expected time between tokens
	OutputTokens int           // expected number of output tokens
	TTFTLimit    time.Duration // time left until the first token is due; 0 for no limit
	TotalLimit   time.Duration // time left until the whole answer is due; 0 for no limit
	Streams      int           // answers running or queued on all engines of the model
	Capacity     int           // answers that these engines can run concurrently
}

// Decide returns an empty reason if the request is admitted. For a rejected
// request it also returns the time until the queue is expected to be short
// enough.
func Decide(in Input) (Reason, time.Duration) {
	if in.TTFTLimit > 0 && in.TTFT > in.TTFTLimit {
		return ReasonDeadline, clampRetryAfter(in.TTFT - in.TTFTLimit)
	}
	total := in.TTFT + in.TPOT*time.Duration(max(in.OutputTokens-1, 0))
	if in.TotalLimit > 0 && total > in.TotalLimit {
		return ReasonDeadline, clampRetryAfter(total - in.TotalLimit)
	}
	if in.Class == state.ClassFirst || in.Capacity == 0 {
		return "", 0
	}
	// Batch requests with little time to spare may not use the reserve.
	unreserved := int(float64(in.Capacity) * (1 - reservedShare))
	if in.Streams >= max(unreserved, 1) && in.TotalLimit > 0 && total > in.TotalLimit/2 {
		excess := in.Streams - unreserved + 1
		return ReasonNoCapacity, clampRetryAfter(time.Duration(excess) * in.TPOT * time.Duration(max(in.OutputTokens, 1)) / time.Duration(in.Capacity))
	}
	return "", 0
}

// clampRetryAfter limits a retry-after time to the range told to callers.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
