package pool

import (
	"context"
	"time"
)

const (
	// meanGapFactor is the number of mean gaps without an event that make a
	// stall.
	meanGapFactor = 20
	// minTimeoutDivisor sets the lower limit of the stall timeout: the maximum
	// divided by it.
	minTimeoutDivisor = 4
)

// StallTimer cancels a request that makes no progress. Its stall timeout adapts
// to the mean gap between the events of the stream, up to a fixed maximum.
type StallTimer struct {
	maxTimeout time.Duration
	meanGap    time.Duration
	lastEvent  time.Time
	timer      *time.Timer
	cancel     context.CancelCauseFunc
}

// WithStallTimer returns a context that is cancelled with ErrStalled when the
// request stalls, the StallTimer that events are reported to, and a clean-up
// that must be called. The first event may take the longer of firstTimeout and
// maxTimeout.
func WithStallTimer(ctx context.Context, firstTimeout, maxTimeout time.Duration) (context.Context, *StallTimer, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &StallTimer{maxTimeout: maxTimeout, cancel: cancel}
	p.timer = time.AfterFunc(max(firstTimeout, maxTimeout), func() { cancel(ErrStalled) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(nil)
	}
}

// EventReceived records an event and stops the stall timer until AwaitEvent is
// called.
func (p *StallTimer) EventReceived(now time.Time) {
	p.timer.Stop()
	p.meanGap = UpdateMeanGap(p.meanGap, p.lastEvent, now)
	p.lastEvent = now
}

// AwaitEvent restarts the stall timer for the next event. Time that the reader
// spends on an event, for example on a slow caller, doesn't count as a stall of
// the peer.
func (p *StallTimer) AwaitEvent() {
	p.timer.Reset(StallTimeout(p.meanGap, p.maxTimeout))
}

// UpdateMeanGap returns the updated moving mean of the gap between events.
func UpdateMeanGap(meanGap time.Duration, lastEvent, now time.Time) time.Duration {
	if lastEvent.IsZero() {
		return 0
	}
	gap := now.Sub(lastEvent)
	if meanGap == 0 {
		return gap
	}
	return meanGap + (gap-meanGap)/8
}

// StallTimeout returns the stall timeout: the time without an event after which
// a stream counts as stalled.
func StallTimeout(meanGap, maxTimeout time.Duration) time.Duration {
	if meanGap <= 0 {
		return maxTimeout
	}
	return min(maxTimeout, max(meanGapFactor*meanGap, maxTimeout/minTimeoutDivisor))
}
