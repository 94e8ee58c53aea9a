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

// Progress cancels a request that makes no progress. Its stall timeout adapts
// to the mean gap between the events of the stream, up to a fixed maximum.
type Progress struct {
	maxTimeout time.Duration
	meanGap    time.Duration
	lastEvent  time.Time
	timer      *time.Timer
	cancel     context.CancelCauseFunc
}

// Watch returns a context that is cancelled with ErrSilent when the request
// stalls, the Progress that events are reported to, and a clean-up that must be
// called. The first event may take the longer of firstTimeout and maxTimeout.
func Watch(ctx context.Context, firstTimeout, maxTimeout time.Duration) (context.Context, *Progress, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &Progress{maxTimeout: maxTimeout, cancel: cancel}
	p.timer = time.AfterFunc(max(firstTimeout, maxTimeout), func() { cancel(ErrSilent) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(nil)
	}
}

// Mark records an event and stops the stall timer until Wait is called.
func (p *Progress) Mark(now time.Time) {
	p.timer.Stop()
	p.meanGap = Pace(p.meanGap, p.lastEvent, now)
	p.lastEvent = now
}

// Wait restarts the stall timer for the next event. Time that the reader spends
// on an event, for example on a slow caller, doesn't count as a stall of the
// peer.
func (p *Progress) Wait() {
	p.timer.Reset(Allowed(p.meanGap, p.maxTimeout))
}

// Pace returns the updated moving mean of the gap between events.
func Pace(meanGap time.Duration, lastEvent, now time.Time) time.Duration {
	if lastEvent.IsZero() {
		return 0
	}
	gap := now.Sub(lastEvent)
	if meanGap == 0 {
		return gap
	}
	return meanGap + (gap-meanGap)/8
}

// Allowed returns the stall timeout: the time without an event after which a
// stream counts as stalled.
func Allowed(meanGap, maxTimeout time.Duration) time.Duration {
	if meanGap <= 0 {
		return maxTimeout
	}
	return min(maxTimeout, max(meanGapFactor*meanGap, maxTimeout/minTimeoutDivisor))
}
