package pool

import (
	"context"
	"time"
)

const (
	// paceFactor is how many times the usual time between events may pass.
	paceFactor = 20
	// paceShare is the least part of the bound that is always allowed.
	paceShare = 4
)

// Progress cancels a request that makes no progress. The time allowed follows
// the pace that the stream has shown, below a fixed bound.
type Progress struct {
	bound  time.Duration
	pace   time.Duration
	last   time.Time
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// Watch returns a context that is cancelled with ErrSilent if nothing happens
// within first, and the progress to report to. The clean-up must be called.
func Watch(ctx context.Context, first, bound time.Duration) (context.Context, *Progress, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &Progress{bound: bound, cancel: cancel}
	p.timer = time.AfterFunc(max(first, bound), func() { cancel(ErrSilent) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(nil)
	}
}

// Mark tells that an event arrived at the given time. Until Wait, no further
// one is expected.
func (p *Progress) Mark(now time.Time) {
	p.timer.Stop()
	p.pace = Pace(p.pace, p.last, now)
	p.last = now
}

// Wait tells that the next event is waited for from now on. The time that the
// reader spends on an event, as with a slow caller, isn't the peer's silence.
func (p *Progress) Wait() {
	p.timer.Reset(Allowed(p.pace, p.bound))
}

// Pace is the moving mean of the time between events.
func Pace(pace time.Duration, last, now time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	gap := now.Sub(last)
	if pace == 0 {
		return gap
	}
	return pace + (gap-pace)/8
}

// Allowed is the time without an event after which a stream counts as silent.
func Allowed(pace, bound time.Duration) time.Duration {
	if pace <= 0 {
		return bound
	}
	return min(bound, max(paceFactor*pace, bound/paceShare))
}
