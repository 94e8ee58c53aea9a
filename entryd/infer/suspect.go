package infer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
)

const (
	// suspectRetryAfter is the Retry-After while another copy of a suspect
	// request is being tried.
	suspectRetryAfter = time.Second
	// minProgressTokens is the number of tokens in one attempt from which the
	// request is unlikely to have caused the loss of its engine.
	minProgressTokens = 8
	// maxLostEngines is the number of engines lost while they ran a call from
	// which the call counts as a possible cause even if it made progress.
	maxLostEngines = 4
	// suspectDelay is the least delay before a suspect request without progress
	// is retried, and the range of the random part added to it. Requests that
	// made progress are resumed at once and must have made more progress on
	// their next engines by then.
	suspectDelay = 400 * time.Millisecond
)

// checkStrikes refuses a request that was running on too many engines when they
// were lost, until its strikes expire, and one of which another copy is being
// tried. It marks a request with fewer strikes as suspect.
func (c *completion) checkStrikes() error {
	now := c.clock.Now()
	verdict, until := c.strikes.Verdict(now, c.call.Fingerprint, c.balancer.Snapshot())
	switch verdict {
	case strike.Blocked:
		return c.strikesError(until.Sub(now))
	case strike.RetryLater:
		return c.suspectError()
	case strike.Suspect:
		c.suspect = true
	}
	return nil
}

// strikesError returns the refusal of a request with too many strikes.
func (c *completion) strikesError(retryAfter time.Duration) error {
	return fault.New(fault.CodeStrikes, "engines were lost while they ran this request; it is refused until the strikes run out").
		RetryAfter(retryAfter).Execution(c.ranStatus())
}

// heldError returns the refusal of a request with a message that may crash
// engines, or the error itself if it is another one.
func (c *completion) heldError(err error) error {
	var held *screen.HeldError
	if !errors.As(err, &held) {
		return err
	}
	return fault.New(fault.CodeStrikes, held.Error()).RetryAfter(held.Wait).Execution(c.ranStatus())
}

// suspectError returns the refusal of a request of which another copy is tried.
func (c *completion) suspectError() error {
	return fault.New(fault.CodeSuspect, "another copy of this request is being tried after an engine was lost").
		RetryAfter(suspectRetryAfter).Execution(c.ranStatus())
}

// pledgeEngines records the engines of a plan before a suspect request is sent
// to them, and returns a refusal if the request may not be tried now.
func (c *completion) pledgeEngines(ctx context.Context, reservation *picker.Reservation) error {
	if !c.suspect && !c.awaitedStrikes {
		// A copy of this request may have caused the loss. Its strikes will
		// have arrived after the delay.
		c.awaitedStrikes = true
		if err := c.awaitStrikes(ctx); err != nil {
			return c.cancelError(ctx)
		}
		if err := c.checkStrikes(); err != nil {
			return err
		}
	}
	engines := []string{reservation.Plan.Decode.Name}
	if reservation.Plan.Split() {
		engines = []string{reservation.Plan.Prefill.Name, reservation.Plan.Decode.Name}
	}
	pledge := strike.Pledge(engines...)
	if pledge == c.currentPledge {
		return nil
	}
	c.currentPledge = pledge
	if len(c.unusedPledges) > 0 {
		// After the delay, all requests that ran on the lost engine have
		// recorded its loss.
		if err := c.awaitStrikes(ctx); err != nil {
			return c.cancelError(ctx)
		}
	}
	if c.strikes.Pledge(ctx, c.clock.Now(), c.call.Fingerprint, c.unusedPledges, engines...) || c.madeProgress {
		return nil
	}
	return c.suspectError()
}

// awaitStrikes waits at random between one and two times suspectDelay before a
// suspect request is tried, so that strikes of other instances can arrive.
func (c *completion) awaitStrikes(ctx context.Context) error {
	return c.sleep(ctx, suspectDelay+rand.N(suspectDelay))
}

// screenFailure records whether the engine of a failed attempt was lost under it.
func (c *completion) screenFailure(f *failure, lost bool) {
	if lost && f.mayHaveRun {
		c.pass.Lost(f.server.Name, c.assembly.NextToken() > c.tokensBefore)
		return
	}
	c.pass.Spared(f.mayHaveRun)
}

// handleLoss records a strike for an engine that was lost while it ran the
// call. A call that made progress is resumed at once. One that didn't waits
// first, so that it doesn't share the next engine with calls that did.
func (c *completion) handleLoss(ctx context.Context, f *failure) error {
	now := c.clock.Now()
	c.strikes.RecordLoss(ctx, now, c.call.Fingerprint, f.server.Name)
	c.suspect = true
	c.lostEngines++
	c.madeProgress = c.assembly.NextToken()-c.tokensBefore >= minProgressTokens && c.lostEngines < maxLostEngines
	if c.madeProgress {
		return nil
	}
	if verdict, until := c.strikes.Verdict(now, c.call.Fingerprint, c.balancer.Snapshot()); verdict == strike.Blocked {
		return c.strikesError(until.Sub(now))
	}
	if err := c.awaitStrikes(ctx); err != nil {
		return c.cancelError(ctx)
	}
	return nil
}
