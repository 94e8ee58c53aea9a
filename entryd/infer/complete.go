package infer

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/answer"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/trail"
)

const (
	// maxAttempts bounds the attempts of a call, except those that ended
	// because their engine was leaving.
	maxAttempts = 6
	// maxEngineWaits bounds the waits for a free engine to resume an answer on,
	// of engineWait each.
	maxEngineWaits = 200
	engineWait     = 100 * time.Millisecond
	// probeTimeout bounds state and cancel requests to an engine.
	probeTimeout = 500 * time.Millisecond
	// backendRetryAfter is the Retry-After without a usable engine.
	backendRetryAfter = 500 * time.Millisecond
	// defaultOutputTokens is the expected output of a request without
	// max_tokens.
	defaultOutputTokens = 256
)

// completion is the state of one call while it is run.
type completion struct {
	*Dispatcher
	call              *Call
	sink              Sink
	pass              *screen.Pass
	routeRequest      route.Request
	assembly          answer.Assembler
	memory            *body.Hold             // of the assembled text
	counted           int                    // bytes in memory
	attemptCount      int                    // numbers the attempts in their IDs
	attemptsSinceMove int                    // since the call was last moved off a leaving engine
	suspect           bool                   // the request may have caused the loss of an engine
	madeProgress      bool                   // an attempt delivered enough tokens for the call to be an unlikely cause
	awaitedStrikes    bool                   // strikes of copies of the request were awaited
	mayHaveRun        bool                   // an engine may have begun to work on the call
	engineWaits       int                    // waits for an engine in the middle of the answer
	lostEngines       int                    // engines lost while they ran the call
	tokensBefore      int                    // tokens delivered when the attempt began
	expectedFirst     time.Duration          // expected time to the first token, at admission
	admittedAt        time.Duration          // reading of the monotonic clock
	currentPledge     string                 // last recorded pledge
	unusedPledges     []string               // pledges for engines that were lost before they got the request
	heldRetry         atomic.Pointer[string] // engine whose budget a retry was taken from before it was left
}

// Complete runs a call and passes its answer to the sink. An error before the
// first token is a refusal that can still be answered with a status.
func (s *Dispatcher) Complete(ctx context.Context, call *Call, sink Sink) error {
	c := s.begin(call, sink)
	defer c.memory.Release()
	return c.run(ctx)
}

// begin returns the state of a call before its first attempt.
func (s *Dispatcher) begin(call *Call, sink Sink) *completion {
	c := &completion{Dispatcher: s, call: call, sink: sink, memory: s.settings.Answers.Hold(0)}
	text := PromptText(&call.Request)
	c.routeRequest = route.Request{
		ID:              call.ID,
		Model:           call.Service.Model,
		Adapter:         call.Service.Adapter,
		Revision:        call.Service.Revision,
		Fingerprint:     call.Fingerprint,
		FirstClass:      call.Service.Class == state.ClassFirst,
		BlockHashes:     route.BlockHashes(call.Service.Model, text),
		PromptTokens:    route.EstimateTokens(text),
		MaxOutputTokens: call.Request.MaxTokens,
	}
	if c.routeRequest.MaxOutputTokens == 0 {
		c.routeRequest.MaxOutputTokens = defaultOutputTokens
	}
	return c
}

// run screens and admits the call, and runs attempts until one succeeds or the
// call fails.
func (c *completion) run(ctx context.Context) error {
	defer c.returnHeldRetry()
	if err := c.checkStrikes(); err != nil {
		return err
	}
	c.pass = c.screen.Begin(c.call.ID, "", strike.PartCauses(sharedMessages(&c.call.Request)))
	defer c.pass.Close()
	if err := c.pass.Held(); err != nil {
		return c.heldError(err)
	}
	c.setRoutingKey()
	if err := c.admit(); err != nil {
		return err
	}
	return c.runAttempts(ctx)
}

// setRoutingKey sets the key that the router picks engines by. It is the
// fingerprint, so that copies of a request that may crash engines share the
// same few. Requests that are known to succeed use their own ID, so that any
// number of copies is spread over all engines.
func (c *completion) setRoutingKey() {
	c.routeRequest.Fingerprint = c.call.Fingerprint
	if !c.suspect && c.strikes.RecentlySucceeded(c.call.Fingerprint) {
		c.routeRequest.Fingerprint = c.call.ID
	}
}

// admit refuses a call at once if it can't meet its deadline, or if the free
// capacity is reserved for the first class.
func (c *completion) admit() error {
	reservation, err := c.balancer.Choose(c.clock.Now(), &c.routeRequest)
	c.call.Record.AddDecision(reservation.Decision)
	if err != nil {
		c.balancer.AddDemand(c.call.Service.Name, c.routeRequest.PromptTokens, c.routeRequest.MaxOutputTokens, true)
		return c.toRefusal(err)
	}
	c.expectedFirst, c.admittedAt = reservation.Plan.TTFT, c.clock.Elapsed()
	reason, retryAfter := admit.Decide(admit.Input{
		Class:        c.call.Service.Class,
		TTFT:         reservation.Plan.TTFT + c.firstTokenMargin(c.call.Service.Name, c.call.FirstTokenLimit),
		TPOT:         reservation.TPOT,
		OutputTokens: c.routeRequest.MaxOutputTokens,
		TTFTLimit:    c.call.FirstTokenLimit,
		TotalLimit:   c.call.AnswerLimit,
		Streams:      reservation.Streams,
		Capacity:     reservation.Capacity,
	})
	c.balancer.AddDemand(c.call.Service.Name, max(c.routeRequest.PromptTokens-reservation.Plan.CachedTokens, 0), c.routeRequest.MaxOutputTokens, reason != "")
	switch reason {
	case admit.ReasonDeadline:
		return fault.New(fault.CodeDeadline, fmt.Sprintf("expected first token in %v", reservation.Plan.TTFT.Round(time.Millisecond))).RetryAfter(retryAfter)
	case admit.ReasonNoCapacity:
		return fault.New(fault.CodeNoCapacity, "the room left is reserved for the first class").RetryAfter(retryAfter)
	}
	return nil
}

// observeFirstToken compares the time to the first token with the expected
// time.
func (c *completion) observeFirstToken(e *engine.Event) {
	if e.Token == 0 {
		c.learnFirstToken(c.call.Service.Name, c.expectedFirst, c.clock.Elapsed()-c.admittedAt)
	}
}

// recordOutput records that an engine has begun the answer: only engines with the
// same output may go on with it.
func (c *completion) recordOutput(e *state.Engine) {
	if c.routeRequest.Continues == nil {
		o := route.OutputOf(e)
		c.routeRequest.Continues = &o
	}
}

// toRefusal turns an error from choosing engines into a refusal.
func (c *completion) toRefusal(err error) error {
	if errors.Is(err, picker.ErrIsolated) {
		return fault.New(fault.CodeStale, err.Error()).RetryAfter(backendRetryAfter).Execution(c.ranStatus())
	}
	if errors.Is(err, route.ErrNoEngine) {
		return fault.New(fault.CodeNoBackend, err.Error()).RetryAfter(picker.RetryAfter(err, backendRetryAfter)).Execution(c.ranStatus())
	}
	return err
}

// runAttempts runs attempts until one succeeds or the call fails.
func (c *completion) runAttempts(ctx context.Context) error {
	for {
		if err := c.checkSend(); err != nil {
			return err
		}
		c.attemptsSinceMove++
		c.attemptCount++
		reservation, err := c.chooseEngines(ctx)
		if err != nil {
			noEngine := errors.Is(err, route.ErrNoEngine) || errors.Is(err, picker.ErrIsolated)
			if !noEngine || !c.awaitEngine(ctx) {
				return c.toRefusal(err)
			}
			continue
		}
		step := trail.Step{
			Attempt: c.attemptID(), At: c.clock.Now(), Prefill: reservation.Plan.Prefill.Name, Server: reservation.Plan.Decode.Name, Tokens: c.assembly.NextToken(),
		}
		c.tokensBefore = c.assembly.NextToken()
		failed := c.attempt(ctx, reservation, step.Attempt)
		step.End = "done"
		if failed != nil {
			step.End = string(failed.reason) + ": " + failed.err.Error()
		}
		c.call.Record.AddStep(step)
		if failed == nil {
			c.recordSuccess(reservation)
			return nil
		}
		if err := c.handleFailure(ctx, failed); err != nil {
			return err
		}
	}
}

// checkSend returns the refusal of a call that must not be sent to an engine now. An answer
// that has begun goes on.
func (c *completion) checkSend() error {
	if c.call.MaySend == nil || c.assembly.NextToken() > 0 {
		return nil
	}
	if err := c.call.MaySend(c.expectedFirst); err != nil {
		return fault.FromError(err).Execution(c.ranStatus())
	}
	return nil
}

// attemptID returns the ID of the current attempt.
func (c *completion) attemptID() string {
	return c.call.ID + "-" + strconv.Itoa(c.attemptCount)
}

// recordSuccess records that the call succeeded on the engines that it reserved,
// and clears its strikes.
func (c *completion) recordSuccess(reservation *picker.Reservation) {
	c.pass.Completed()
	c.strikes.RecordSuccess(c.call.Fingerprint)
	c.recordSuccesses(reservation.Plan.Prefill.Name, reservation.Plan.Decode.Name)
	if c.suspect || c.currentPledge != "" {
		c.strikes.Clear(c.call.Fingerprint)
	}
}

// chooseEngines picks the engines of the next attempt. A suspect request needs
// a pledge for them, and so does one that none of its usual engines can take
// after one of them was lost.
func (c *completion) chooseEngines(ctx context.Context) (*picker.Reservation, error) {
	c.routeRequest.ID, c.routeRequest.Suspect = c.attemptID(), c.suspect
	c.setRoutingKey()
	if err := c.pass.Permit(ctx); err != nil {
		return nil, c.heldError(err)
	}
	reservation, err := c.balancer.Choose(c.clock.Now(), &c.routeRequest)
	if c.attemptCount > 1 {
		c.call.Record.AddDecision(reservation.Decision)
	}
	if err != nil {
		c.pass.Spared(false)
		// Engines that failed this request before are better than none.
		c.routeRequest.Avoid = nil
		return nil, err //nolint:wrapcheck // the caller checks for its kind
	}
	if c.suspect || reservation.Plan.PreferredLost {
		err = c.pledgeEngines(ctx, reservation)
	}
	return reservation, err
}

// awaitEngine waits after no engine could be picked, and reports whether to try
// again. An answer that has begun waits longer: engines come back from a change
// of role within seconds.
func (c *completion) awaitEngine(ctx context.Context) bool {
	if c.attemptCount == 1 {
		return false
	}
	if c.assembly.NextToken() == 0 {
		return c.attemptsSinceMove < maxAttempts && c.backOff(ctx, c.attemptsSinceMove) == nil
	}
	c.attemptsSinceMove--
	c.engineWaits++
	c.meter.Count("stream", "waits")
	return c.engineWaits <= maxEngineWaits && c.sleep(ctx, engineWait) == nil
}

// handleFailure decides how to go on after a failed attempt. It returns the
// error that ends the call, or nil for another attempt.
func (c *completion) handleFailure(ctx context.Context, f *failure) error {
	c.meter.Count("attempt", "failed", string(f.reason))
	c.mayHaveRun = c.mayHaveRun || f.mayHaveRun
	if ctx.Err() != nil {
		return c.cancelError(ctx)
	}
	if f.terminal {
		return f.err
	}
	if f.reason == retry.ReasonDraining {
		c.pass.Spared(true)
		c.meter.Count("stream", "moved")
		c.attemptsSinceMove = 0
		return nil
	}
	lost := c.probeLost(ctx, f)
	c.updateExclusions(f, lost)
	c.screenFailure(f, lost)
	if lost && f.mayHaveRun {
		if err := c.handleLoss(ctx, f); err != nil {
			return err
		}
	}
	// Repeating the work of a lost engine adds no load to the fleet, so only
	// failures of live engines take from the retry budget.
	if c.attemptsSinceMove >= maxAttempts || (!lost && c.assembly.NextToken() == 0 && !c.spendRetry(f.server.Name)) {
		c.meter.Count("retry", "refused", string(f.reason))
		return fault.New(fault.CodeBackendFailed, f.err.Error()).Execution(c.ranStatus()).RetryAfter(backendRetryAfter)
	}
	c.meter.Count("retry", string(f.reason))
	if c.assembly.NextToken() > 0 {
		c.meter.Count("stream", "resumed")
		return nil
	}
	if err := c.backOff(ctx, c.attemptsSinceMove); err != nil {
		return c.cancelError(ctx)
	}
	return nil
}

// updateExclusions records what a failed attempt means for the next choice. A
// pledged engine that wasn't lost may be tried again. The pledge of an engine
// that was lost before it received the request stays unused.
func (c *completion) updateExclusions(f *failure, lost bool) {
	if c.assembly.NextToken()-c.tokensBefore >= minProgressTokens && !lost {
		c.madeProgress = true
	}
	if lost || c.currentPledge == "" {
		c.routeRequest.Avoid = append(c.routeRequest.Avoid, f.server.Name)
	}
	if lost && !f.mayHaveRun && c.currentPledge != "" {
		c.unusedPledges = append(c.unusedPledges, c.currentPledge)
	}
}

// probeLost reports whether the engine of a failed attempt is lost. It probes
// the engine unless the failure itself shows that it runs, and tells the router
// of a loss.
func (c *completion) probeLost(ctx context.Context, f *failure) bool {
	switch f.reason {
	case retry.ReasonErrorStatus, retry.ReasonOverloaded, retry.ReasonMissingTokens:
		return false
	case retry.ReasonStalled:
		c.pool.Discard(server.HostPort(f.server.URL))
	}
	if c.alive(ctx, f.server.URL) {
		return false
	}
	c.balancer.RecordProbe(c.clock.Now(), f.server.Name, false)
	return true
}

// ranStatus returns whether the call may have run, as its caller is told.
func (c *completion) ranStatus() once.Execution {
	if c.mayHaveRun || c.assembly.NextToken() > 0 {
		return once.Executed
	}
	return once.NotExecuted
}

// cancelError returns the refusal of a call whose context has ended.
func (c *completion) cancelError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.New(fault.CodeDeadline, "no answer before the deadline").Execution(c.ranStatus())
	}
	if errors.Is(context.Cause(ctx), leave.ErrCut) {
		return fault.New(fault.CodeStopping, leave.ErrCut.Error()).Execution(c.ranStatus()).RetryAfter(backendRetryAfter)
	}
	return fault.New(fault.CodeCancelled, "the caller went away").Execution(c.ranStatus())
}
