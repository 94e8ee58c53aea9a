// Package leave decides which calls an instance that is shutting down may still take.
// It answers loads whose answers last about as long as the grace period: an answer that
// has begun can't be handed to another instance, so a call is taken only if even its
// longest answer ends before running calls are cut. Where nothing bounds the answer, the
// deadline of the call does. It is a pure function of what is known of the call.
package leave

import (
	"errors"
	"time"
)

// ErrCut is the cause with which calls that still run at the end of a shutdown are cut.
var ErrCut = errors.New("the instance stopped before the answer could end")

const (
	// startFactor is how many times the expected time to the first event it may take.
	startFactor = 2
	// gapFactor is how many times the expected gap between events an answer's gaps may
	// be in the mean: batches fill up while it runs.
	gapFactor = 1.5
	// pause bounds the time of an answer in which its engine is slow or silent.
	pause = 2 * time.Second
	// finish is the time until the end of an answer has been written to the caller.
	finish = 100 * time.Millisecond
)

// Call is what is known of a call before it is sent to a backend server.
type Call struct {
	TimeLeft time.Duration // until its deadline
	Start    time.Duration // expected until its first event
	Events   int           // most that its answer may have, 0 if nothing limits them
	Gap      time.Duration // expected between two events at the slowest engine, 0 if unknown
}

// Longest returns the longest time that the call may take.
func (c Call) Longest() time.Duration {
	longest := c.TimeLeft
	if c.Events > 0 && c.Gap > 0 {
		answer := min(gapFactor*float64(c.Events)*float64(c.Gap), float64(c.TimeLeft)) // may exceed a Duration
		longest = min(longest, startFactor*c.Start+time.Duration(answer)+pause)
	}
	return max(0, longest) + finish
}

// EndsWithin reports whether the call ends within the time until running calls are cut,
// however long its answer gets.
func (c Call) EndsWithin(left time.Duration) bool { return c.Longest() <= left }
