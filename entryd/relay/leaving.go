package relay

import (
	"context"
	"errors"
	"time"

	"verbenahaven.example/core/request/leave"
)

// leavingError says that a call isn't sent since the instance is shutting down.
type leavingError struct {
	retryAfter time.Duration
	attrs      []any // log attributes: by which it was refused
}

// Error implements error.
func (e *leavingError) Error() string {
	return "the instance is shutting down before the answer could end"
}

// wasCut reports whether a call was cut since the instance is shutting down.
func wasCut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), leave.ErrCut) }

// isLeaving reports whether a call wasn't sent since the instance is shutting down.
func isLeaving(err error) bool {
	var leaving *leavingError
	return errors.As(err, &leaving)
}

// checkLeaving returns a leavingError if the call might be cut when the instance stops.
// t is nil if the call isn't scheduled, or no generation.
func (f *inflightCall) checkLeaving(t *ticket) error {
	attrs, ends := f.endsBeforeCut(t)
	f.leavingAttrs = attrs
	return f.leavingFault(attrs, ends)
}

// checkCut is checkLeaving for a run. An answer of which this call has delivered events goes
// on: to end it now is no better than to cut it later.
func (f *inflightCall) checkCut(r *run) error {
	if r.delivered() {
		return nil
	}
	return f.checkLeaving(r.ticket)
}

// checkSend is checkCut right before the first byte, and checkPlain for other calls. They
// leave the call as it is: a second attempt may be prepared beside the first one's send.
func (f *inflightCall) checkSend(r *run) error {
	if r.delivered() {
		return nil
	}
	return f.leavingFault(f.endsBeforeCut(r.ticket))
}

func (f *inflightCall) checkPlain() error { return f.leavingFault(f.endsBeforeCut(nil)) }

// leavingFault returns a leavingError, unless the call ends before running calls are cut.
func (f *inflightCall) leavingFault(attrs []any, ends bool) error {
	if ends {
		return nil
	}
	f.meter.Count("leaving", "refused")
	return &leavingError{f.fleet.ReturnAfterLeaving(), attrs}
}

// keepLeavingAttrs keeps the log attributes of a call that was refused right before a send.
func (f *inflightCall) keepLeavingAttrs(err error) {
	var leaving *leavingError
	if errors.As(err, &leaving) {
		f.leavingAttrs = leaving.attrs
	}
}

// endsBeforeCut reports whether the instance isn't shutting down, or the call ends before
// running calls are cut. Only in a shutdown there are log attributes.
func (f *inflightCall) endsBeforeCut(t *ticket) (attrs []any, ends bool) {
	left, active := f.draining()
	if !active {
		return nil, true
	}
	c := leave.Call{TimeLeft: f.timeLeft(), Start: f.route.LatencyTarget}
	if f.isGeneration() {
		// An event holds a token at least, and may hold fewer than earlier ones did.
		c.Events = f.call.Prompt.MaxOutput
		c.Gap = f.fleet.longestGap(f.targetPool.Name)
	}
	if t != nil {
		c.Start = t.Plan.TimeToFirstEvent
		if t.Deferred { // waits for as long as it has time
			c.Start = c.TimeLeft
		}
		if !f.fleet.gapSeen(t.Plan.Decode.Name) { // it may be much slower than the others
			c.Gap = 0
		}
	}
	return []any{
		"left_ms", left.Milliseconds(), "longest_ms", c.Longest().Milliseconds(), "max_events", c.Events, "gap_us", c.Gap.Microseconds(),
	}, c.EndsWithin(left)
}

// longestGap returns the longest gap that is expected between two events at an engine of a
// pool that may get a generation, 0 if it is unknown.
func (f *Fleet) longestGap(pool string) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.local.LongestGap(pool)
}

// gapSeen reports whether the gap between two events is known of an engine itself.
func (f *Fleet) gapSeen(engine string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.local.GapSeen(engine)
}

// ReturnAfterLeaving returns when another instance can take a call that this one refuses
// since it is shutting down, or else this one after its restart.
func (f *Fleet) ReturnAfterLeaving() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return leave.RetryAfter(f.name, f.snapshot.LiveEntries())
}
