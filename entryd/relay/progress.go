package relay

import (
	"context"
	"errors"
	"time"
)

const (
	// minProgressTimeout is the least time without progress after which a
	// request that may be retried is cancelled at an engine.
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

// progressTimer cancels an exchange that makes no progress.
type progressTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// firstProgressTimeout returns how long an engine may take for its first answer
// byte or event. A deferred call may wait for as long as it has time.
func (f *inflightCall) firstProgressTimeout(t *ticket) time.Duration {
	if t.Deferred {
		return f.timeLeft()
	}
	return max(minProgressTimeout, progressTargetFactor*f.route.LatencyTarget, progressTimeoutFactor*t.Plan.TimeToFirstEvent)
}

// withProgressTimeout returns a context that is cancelled after a time without
// progress, and the timer to be reset on progress. 0 means no timeout.
func (f *inflightCall) withProgressTimeout(ctx context.Context, timeout time.Duration) (context.Context, *progressTimer) {
	progressCtx, cancel := context.WithCancelCause(ctx)
	w := &progressTimer{cancel: cancel}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() { cancel(errNoProgress) })
	}
	return progressCtx, w
}

// reset restarts the timer on progress. 0 leaves it as it is.
func (w *progressTimer) reset(timeout time.Duration) {
	if w.timer != nil && timeout > 0 {
		w.timer.Reset(timeout)
	}
}

// stop ends the exchange and its timer.
func (w *progressTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// eventTimeout returns how long an engine may take for the next event, or 0 for
// no limit.
func (f *inflightCall) eventTimeout() time.Duration {
	if !f.route.Resumable {
		return 0
	}
	return max(minProgressTimeout, eventGapFactor*f.route.GapTarget)
}
