package relay

import (
	"context"
	"errors"
	"time"
)

const (
	// minProgressTimeout is the least time without progress after which a second
	// attempt of a request that may be retried begins.
	minProgressTimeout = 600 * time.Millisecond
	// progressTargetFactor is how many times the latency target an engine may
	// take for the first event: callers hang up after four times.
	progressTargetFactor = 3
	// progressTimeoutFactor is how many times the expected time to the first
	// event an engine may take for it.
	progressTimeoutFactor = 4
	// eventGapFactor is how many times the longest on-time gap between events
	// an engine may take for the next event: callers hang up after eight times.
	eventGapFactor = 6
)

var errNoProgress = errors.New("no progress")

// firstProgressTimeout returns how long an engine may take for its first answer
// byte or event. A deferred call may wait for as long as it has time.
func (f *inflightCall) firstProgressTimeout(t *ticket) time.Duration {
	if t.Deferred {
		return f.timeLeft()
	}
	return max(minProgressTimeout, progressTargetFactor*f.route.LatencyTarget, progressTimeoutFactor*t.Plan.TimeToFirstEvent)
}

// firstEventTimeout returns how long a decode engine may take for the first event
// before a second attempt begins, or 0 for no limit.
func (f *inflightCall) firstEventTimeout(t *ticket) time.Duration {
	if !f.route.Resumable {
		return 0
	}
	return f.firstProgressTimeout(t)
}

// withPrefillTimeout returns a context that is cancelled once a prefill has taken too
// long and the call may try again, and a function that ends it. A prefill isn't a run,
// so another one may begin at once.
func (f *inflightCall) withPrefillTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	prefillCtx, cancel := context.WithCancelCause(ctx)
	if f.tries+1 < maxTries {
		f.cancelPrefill(prefillCtx, timeout, func() { cancel(errNoProgress) })
	}
	return prefillCtx, func() { cancel(nil) }
}

// cancelPrefill calls cancel after a timeout, once the retry budget allows another
// prefill.
func (f *inflightCall) cancelPrefill(ctx context.Context, timeout time.Duration, cancel func()) {
	time.AfterFunc(timeout, func() {
		switch {
		case ctx.Err() != nil:
		case f.reserveSends(true):
			cancel()
		default:
			f.cancelPrefill(ctx, standbyInterval, cancel)
		}
	})
}

// eventTimeout returns how long an engine may take for the next event before a second
// attempt begins, or 0 for no limit.
func (f *inflightCall) eventTimeout() time.Duration {
	if !f.route.Resumable {
		return 0
	}
	return max(minProgressTimeout, eventGapFactor*f.route.GapTarget)
}
