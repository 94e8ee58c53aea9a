package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/request/sched"
)

var (
	errUnsigned         = errors.New("the answer isn't the server's own")
	errStatus           = errors.New("the engine answered with a failure")
	errNotRun           = errors.New("the engine had no room")
	errLeaving          = errors.New("the engine is leaving")
	errBusy             = errors.New("the engines are too busy for its time")
	errCallerConn       = errors.New("the caller's connection failed")
	errNoStream         = errors.New("the answer is no stream of events")
	errFailureDelivered = errors.New("the engine's failure was passed on")
)

// forwardGeneration runs a generation on the engines of a plan, and retries it
// on others as far as the route and the retry budget allow. Admission control
// applies to the first plan only.
func (f *inflightCall) forwardGeneration(ctx context.Context) {
	request := &sched.Request{Admit: !f.resumes()} // the target of its first event has been met or missed before
	request.Account, request.Priority = f.call.Account, f.accountPriority()
	request.Pool, request.Prompt, request.Target = f.targetPool.Name, f.call.Prompt, f.route.LatencyTarget
	request.GapTarget = f.route.GapTarget
	var out answerStream
	reason := "no engine can take the request"
	retryAfter := busyRetryAfter
	for {
		if err := f.hold(ctx); err != nil {
			reason, retryAfter = err.Error(), retryAfterOf(err)
			break
		}
		request.ID, request.Avoid, request.Build, request.TimeLeft = f.placeID(), f.avoid, f.build, f.timeLeft()
		t, err := f.fleet.schedule(ctx, f.clock.Now(), request)
		if err != nil {
			f.pass.Spared(false)
			if !f.waitToRetryAll(ctx) {
				break
			}
			continue
		}
		f.admissionAttrs = []any{
			"expected_ms", t.Plan.TimeToFirstEvent.Milliseconds(), "margin_ms", t.Margin.Milliseconds(), "limit_ms", t.Limit.Milliseconds(),
			"wait_ms", t.Plan.QueueWait.Milliseconds(), "by", t.broker, "heard_ms", f.fleet.reportAge(f.clock.Now()).Milliseconds(), "state", f.snapshot.Version(),
		}
		if t.Refused {
			f.pass.Spared(false)
			f.declined = true
			reason, retryAfter = errBusy.Error(), t.RetryAfter
			break
		}
		request.Admit = false
		f.logPlaced(t, &out)
		t, err = f.attempt(ctx, t, &out)
		if err == nil {
			f.pass.Completed()
			f.logAnswered(t.Plan.Decode.Name, http.StatusOK, nil, "events", out.events, "framing", out.framing)
			return
		}
		if errors.Is(err, errFailureDelivered) {
			return
		}
		if errors.Is(err, errCallerConn) {
			f.meter.Count("caller", "left")
			return
		}
		reason = err.Error()
		if isFinal(err) {
			retryAfter = retryAfterOf(err)
			break
		}
		if !f.allowRetry(ctx, f.mayGoOn(&out)) {
			break
		}
	}
	if out.headSent {
		f.logIncomplete(ctx, &out, reason)
		// Abort the connection, so that the answer doesn't look complete.
		panic(http.ErrAbortHandler)
	}
	f.endUnanswered(ctx, reason, retryAfter)
}

// logPlaced logs where a generation runs.
func (f *inflightCall) logPlaced(t *ticket, out *answerStream) {
	if t.Deferred {
		f.meter.Count("place", "later")
	}
	attrs := f.accountAttrs()
	if t.Preferred {
		f.meter.Count("place", "preferred")
		attrs = append(attrs, "preferred", true)
	}
	p := &t.Plan
	f.log.Info("placed", slices.Concat([]any{
		"request", f.call.ID, "prefill", p.Prefill.Name, "decode", p.Decode.Name, "fetch", p.FetchURL,
		"expected_ms", p.TimeToFirstEvent.Milliseconds(), "work", p.PrefillTokens, "queued", p.QueuedTokens, "wait_ms", p.QueueWait.Milliseconds(),
		"build", p.Decode.Build, "later", t.Deferred, "resumes", f.call.Resumes, "after", out.lastEventID, "by", t.broker, "state", f.snapshot.Version(),
		"heard_ms", f.fleet.reportAge(f.clock.Now()).Milliseconds(), "parts", f.sharedParts(), "ms", f.elapsedMS(),
	}, f.leavingAttrs, attrs)...)
}

// sharedParts returns the IDs of the parts of the call's prompt that other calls
// may share: all but the last.
func (f *inflightCall) sharedParts() []string {
	if f.call.Prompt == nil || len(f.call.Prompt.Parts) < 2 {
		return nil
	}
	shared := f.call.Prompt.Parts[:len(f.call.Prompt.Parts)-1]
	list := make([]string, 0, len(shared))
	for _, p := range shared {
		list = append(list, p.ID)
	}
	return list
}

// logIncomplete logs and counts a stream that ended early. A caller that hung
// up isn't a failure of the system, but its context is also cancelled when a
// shutdown cuts the stream, which is one.
func (f *inflightCall) logIncomplete(ctx context.Context, out *answerStream, reason string) {
	if errors.Is(ctx.Err(), context.Canceled) && !wasCut(ctx) {
		f.meter.Count("caller", "left")
		f.log.Info("caller left", "request", f.call.ID, "route", f.route.Name, "events", out.events, "ran", f.mayHaveRun, "ms", f.elapsedMS())
		return
	}
	_, draining := f.draining()
	f.meter.Count("stream", "broken")
	f.log.Warn("stream broken", slices.Concat([]any{
		"request", f.call.ID, "route", f.route.Name, "events", out.events, "max_output", f.call.Prompt.MaxOutput, "ran", f.mayHaveRun,
		"leaving", draining, "reason", reason, "ms", f.elapsedMS(),
	}, f.leavingAttrs)...)
}

// waitToRetryAll waits before the engines that failed may be picked again, and
// reports whether the call has a try left for them. Lost engines aren't picked for a
// while, so a call that may have run, which its caller can't repeat, waits once more.
func (f *inflightCall) waitToRetryAll(ctx context.Context) bool {
	wait := busyRetryAfter / 3
	switch {
	case len(f.avoid) > 0 && f.tries < maxTries:
		f.tries++
		f.waitsAgain = len(f.mayHaveRun) > 0
	case len(f.avoid) == 0 && f.waitsAgain:
		wait = busyRetryAfter
		f.waitsAgain = false
	default:
		return false
	}
	f.avoid = nil
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// attempt runs the call on the engines of a plan. It returns the ticket of the engine
// that sent the last of the answer, another one if the first fell silent.
func (f *inflightCall) attempt(ctx context.Context, t *ticket, out *answerStream) (*ticket, error) {
	answered, tokens := time.Duration(0), 0
	r, stop := f.newRun(ctx, t, out.lastEventID)
	defer stop()
	defer func() { r.ticket.end(answered, tokens) }()
	err := f.prepare(ctx, r)
	if err == nil {
		r, err = f.decode(ctx, r, out)
	}
	if err == nil {
		answered = max(f.answerTime(), time.Nanosecond)
		if !f.resumes() { // else the earlier events aren't known here
			tokens = f.tokensIn(out)
		}
	}
	if err != nil && (errors.Is(err, errNotRun) || errors.Is(err, errLeaving) || out.events == 0) {
		f.releasePrefill(ctx, r)
	}
	return r.ticket, err
}

// recheck decides again whether a call is sent to its decode engine: a prefill may
// have taken seconds.
func (f *inflightCall) recheck(ctx context.Context, r *run) error {
	plan := &r.ticket.Plan
	if err := f.permit(ctx); err != nil {
		return err
	}
	if err := f.checkCut(r); err != nil {
		f.pass.Spared(plan.Split())
		return err
	}
	if plan.Split() && !f.fleet.isServing(plan.Decode.Name) {
		f.avoid = append(f.avoid, plan.Decode.Name)
		f.pass.Spared(true)
		f.meter.Count("engine", "left")
		return fmt.Errorf("engine %s: %w", plan.Decode.Name, errLeaving)
	}
	return nil
}

// recordRefusal records that an engine answered with a failure status, and
// returns the error for it.
func (f *inflightCall) recordRefusal(t *ticket, name string, a *http.Response) error {
	f.avoid = append(f.avoid, name)
	f.pass.Spared(true)
	head := f.codec.ParseHead(a)
	f.log.Info("engine refused", "request", f.call.ID, "engine", name, "status", a.StatusCode, "not_run", head.NotExecuted, "ms", f.elapsedMS())
	f.meter.Count("engine", "refused")
	if head.NotExecuted {
		t.engineRejected(name)
		f.turnedAway = true
		return fmt.Errorf("engine %s: %w", name, errNotRun)
	}
	t.engineFailed(name, false)
	return fmt.Errorf("engine %s: status %d: %w", name, a.StatusCode, errStatus)
}

// recordEngineLoss records a failed exchange with an engine, as recordFailure
// does, and tells the instance that scheduled the call.
func (f *inflightCall) recordEngineLoss(ctx context.Context, t *ticket, name, address string, begun bool, err error) {
	if f.recordFailure(ctx, name, address, begun, err) {
		t.engineFailed(name, true)
	}
}

// recordPossibleRun records that a backend server may have run the call, unless
// the exchange failed before any byte of the request could reach it.
func (f *inflightCall) recordPossibleRun(name string, err error) {
	if httpc.MaybeSent(err) {
		f.mayHaveRun = append(f.mayHaveRun, name)
	}
}
