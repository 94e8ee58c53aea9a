package pool

import (
	"context"
	"sync"
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
// to the mean gap between the events of the stream, up to a fixed maximum. A
// server that is silent may go on, so the request is only cancelled if the check
// says that something is gained by it; otherwise the check is repeated after
// each further timeout. The check is told how long the wait for an event has taken.
type StallTimer struct {
	maxTimeout time.Duration
	meanGap    time.Duration
	lastEvent  time.Time
	mayCancel  func(waited time.Duration) bool
	cancel     context.CancelCauseFunc

	mutex   sync.Mutex
	timer   *time.Timer
	timeout time.Duration // of the current wait
	since   time.Time     // start of the current wait
	expiry  time.Time     // zero while no event is awaited
	waits   uint64        // numbers the waits for an event
}

// WithStallTimer returns a context that is cancelled with ErrStalled when the
// request stalls and mayCancel allows it, the StallTimer that events are
// reported to, and a clean-up that must be called. The first event may take the
// longer of firstTimeout and maxTimeout. mayCancel may take its time; it runs
// beside the request, and an event that arrives meanwhile is progress.
func WithStallTimer(ctx context.Context, firstTimeout, maxTimeout time.Duration, mayCancel func(waited time.Duration) bool) (context.Context, *StallTimer, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &StallTimer{maxTimeout: maxTimeout, mayCancel: mayCancel, cancel: cancel}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.timeout = max(firstTimeout, maxTimeout)
	p.since = time.Now()
	p.expiry = p.since.Add(p.timeout)
	p.timer = time.AfterFunc(p.timeout, p.expire)
	return ctx, p, func() {
		p.pause()
		cancel(nil)
	}
}

// pause ends the current wait.
func (p *StallTimer) pause() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.timer.Stop()
	p.waits++
	p.expiry = time.Time{}
}

// EventReceived records an event and stops the stall timer until AwaitEvent is
// called.
func (p *StallTimer) EventReceived(now time.Time) {
	p.pause()
	p.meanGap = UpdateMeanGap(p.meanGap, p.lastEvent, now)
	p.lastEvent = now
}

// AwaitEvent restarts the stall timer for the next event. Time that the reader
// spends on an event, for example on a slow caller, doesn't count as a stall of
// the peer.
func (p *StallTimer) AwaitEvent() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.since = time.Now()
	p.restart(StallTimeout(p.meanGap, p.maxTimeout))
}

// restart sets the time of the next check. The caller holds the mutex.
func (p *StallTimer) restart(timeout time.Duration) {
	p.timeout = timeout
	p.expiry = time.Now().Add(timeout)
	p.timer.Reset(timeout)
}

// expire cancels the request, or waits on if that isn't allowed.
func (p *StallTimer) expire() {
	p.mutex.Lock()
	wait, waited := p.waits, time.Since(p.since)
	stalled := !p.expiry.IsZero() && !time.Now().Before(p.expiry)
	p.mutex.Unlock()
	if !stalled {
		return // a timer of an earlier wait
	}
	allowed := p.mayCancel(waited)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.waits != wait:
	case allowed:
		p.cancel(ErrStalled)
	default:
		p.restart(p.timeout)
	}
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
