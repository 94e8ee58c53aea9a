package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/request/sched"
)

const (
	// releaseTimeout bounds the request that frees a KV cache.
	releaseTimeout = time.Second
	// maxPrefillAnswer bounds the answer to a prefill and other short answers,
	// in bytes.
	maxPrefillAnswer = 64 << 10
	// readBufferSize is the size of reads from an event stream, in bytes.
	readBufferSize = 16 << 10
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

// answerStream tracks how much of a streamed answer the caller has received. It
// spans the attempts of a call.
type answerStream struct {
	headSent    bool   // the HTTP header was sent
	lastEventID string // of the last complete event
	events      int
	partial     []byte        // start of an incomplete event, not yet sent
	framing     httpc.Framing // of the last engine's answer
}

// resumable reports whether another attempt can go on after what the caller has.
func (o *answerStream) resumable() bool { return !o.headSent || o.lastEventID != "" }

// mayGoOn reports whether another attempt may go on after what the caller has.
func (f *inflightCall) mayGoOn(o *answerStream) bool { return f.route.Resumable && o.resumable() }

// goesOnWith reports whether an answer may follow what the caller has. An engine may report
// an error with the status of success.
func (o *answerStream) goesOnWith(a *http.Response) bool {
	return !o.headSent || stream.IsStream(a.Header)
}

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

// answerTime returns the time since the first event.
func (f *inflightCall) answerTime() time.Duration {
	return f.clock.Now().Sub(f.start) - f.timeToFirstEvent
}

// tokensIn returns the most tokens that the events of an answer may hold.
func (f *inflightCall) tokensIn(out *answerStream) int {
	return out.events * max(1, f.targetPool.Spec.MaxTokensPerEvent)
}

// logIncomplete logs and counts a stream that ended early. A caller that hung
// up isn't a failure of the system, but its context is also cancelled when a
// shutdown cuts the stream, which is one.
func (f *inflightCall) logIncomplete(ctx context.Context, out *answerStream, reason string) {
	remaining, draining := f.draining()
	if errors.Is(ctx.Err(), context.Canceled) && (!draining || remaining > 0) {
		f.meter.Count("caller", "left")
		f.log.Info("caller left", "request", f.call.ID, "route", f.route.Name, "events", out.events, "ran", f.mayHaveRun, "ms", f.elapsedMS())
		return
	}
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

// releaseKV frees a KV cache that no decode engine will fetch.
func (s *Proxy) releaseKV(ctx context.Context, address, handle string) {
	q := s.codec.EncodeRelease(address, handle)
	end, allowed := s.beginOwn(address, q)
	if !allowed {
		s.meter.Count("handle", "not_released")
		return
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	a, err := s.pool.Do(ctx, address, q)
	if err != nil {
		// The engine frees it later: the handle expires.
		s.meter.Count("handle", "not_released")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxPrefillAnswer)) // so that the connection is kept
	_ = a.Body.Close()
	s.meter.Count("handle", "released")
}

// prefill computes the prompt on the plan's prefill engine and returns the
// handle of its KV cache. It doesn't count as a run of the call.
func (f *inflightCall) prefill(ctx context.Context, r *run) (string, error) {
	t, plan := r.ticket, &r.ticket.Plan
	name := plan.Prefill.Name
	progressCtx, stop := f.withPrefillTimeout(ctx, f.firstProgressTimeout(t))
	defer stop()
	send := &server.Request{Call: f.call, ServerID: name, TimeLeft: f.timeLeft(), PrefillOnly: true, Priority: f.enginePriority(&t.Decision)}
	if plan.FetchURL != "" {
		send.PrefixSource = server.HostPort(plan.FetchURL)
	}
	start := f.clock.Now()
	f.tries++
	a, err := f.do(progressCtx, name, server.HostPort(plan.Prefill.URL), f.codec.EncodeRequest(send), func() error { return f.checkSend(r) })
	if err != nil {
		f.recordEngineLoss(ctx, t, name, server.HostPort(plan.Prefill.URL), false, err)
		return "", fmt.Errorf("prefill: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	content, err := body.Read(a.Body, maxPrefillAnswer)
	if err != nil {
		f.recordEngineLoss(ctx, t, name, server.HostPort(plan.Prefill.URL), false, err)
		return "", fmt.Errorf("prefill: %w", err)
	}
	f.parseHead(name, a)
	took := f.clock.Now().Sub(start)
	f.meter.Time(took, "prefill")
	f.prefillTime = took
	if a.StatusCode != http.StatusOK {
		return "", f.recordRefusal(t, name, a)
	}
	prefilled, err := f.codec.DecodePrefill(content)
	if err != nil {
		f.avoid = append(f.avoid, name)
		f.pass.Spared(true)
		t.engineFailed(name, false)
		return "", fmt.Errorf("prefill: %w", err)
	}
	f.prefillAccepted()
	f.pass.Prefilled()
	t.prefilled(took)
	return prefilled.KVHandle, nil
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

// handleNonStream handles an engine's answer that isn't an event stream. A
// failure that the engine itself reports is delivered to the caller, unless the
// call may be retried on another engine.
func (f *inflightCall) handleNonStream(ctx context.Context, t *ticket, name string, a *http.Response, out *answerStream) error {
	content, err := f.buffer(ctx, a)
	f.avoid = append(f.avoid, name)
	f.pass.Spared(true)
	t.engineFailed(name, false)
	head := f.codec.ParseHead(a)
	retryable := f.route.Resumable && len(f.mayHaveRun) < f.route.MaxAttempts
	if err != nil || out.headSent || !head.Signed || retryable || ctx.Err() != nil {
		return fmt.Errorf("engine %s: status %d: %w", name, a.StatusCode, errStatus)
	}
	f.deliver(&wholeAnswer{response: a, head: head, body: content, server: name})
	return errFailureDelivered
}

// forwardStream forwards a run's complete events to the caller as they arrive. It
// returns errMoved if the stream goes on at another engine. Only complete events are
// progress: an engine that sends parts of one, or comments, now and then is silent.
func (f *inflightCall) forwardStream(ctx context.Context, r *run, s *standby, out *answerStream) error {
	a := r.answer
	out.partial, out.framing = out.partial[:0], httpc.FramingOf(a)
	buffer := make([]byte, readBufferSize)
	control := http.NewResponseController(f.w)
	ahead, stop := newReadAhead(a.Body, f.memory.events.Hold(f.urgency()), func() { r.cancel(nil) })
	defer stop()
	var cursor stream.Cursor
	for {
		end, err := readEvents(ahead, buffer, &cursor, out)
		if s.settle(err == nil || errors.Is(err, io.EOF)) != nil {
			return errMoved
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			end = len(out.partial) // also the end of an answer that isn't an event stream
		}
		if end > 0 {
			if ahead.active() {
				r.lastGap = time.Time{}
			}
			ahead.beginWrite()
			err := f.forwardEvents(control, r, out, end)
			ahead.endWrite()
			if err != nil {
				return err
			}
		}
		switch {
		case ended && !out.headSent:
			return f.writeEvents(control, a, out, nil)
		case ended:
			return nil
		case err != nil:
			return err //nolint:wrapcheck // wrapped by decode
		case len(out.partial) > stream.MaxEventBytes:
			return stream.ErrTooLarge
		}
		s.arm(ctx, f.eventTimeout())
	}
}

// forwardEvents forwards the complete events at the start of out.partial, end bytes, and
// observes when they came.
func (f *inflightCall) forwardEvents(control *http.ResponseController, r *run, out *answerStream, end int) error {
	if stream.IsStream(r.answer.Header) && !stream.ValidEvents(out.partial[:end], f.codec.EventFields()...) {
		return fmt.Errorf("engine %s: %w", r.name, errNoStream)
	}
	arrived, before := f.clock.Now(), out.events
	if !r.begun {
		f.beginEvents(r)
	}
	if err := f.writeEvents(control, r.answer, out, out.partial[:end]); err != nil {
		return err
	}
	out.partial = append(out.partial[:0], out.partial[end:]...)
	f.observeGap(r, arrived, out.events-before)
	return nil
}

// readEvents reads until an event has ended, the answer ends or its event is too large.
// It appends what it read to the answer's partial event, and returns the length of its
// complete events.
func readEvents(r io.Reader, buffer []byte, cursor *stream.Cursor, out *answerStream) (end int, err error) {
	for before := cursor.Ended(); err == nil && cursor.Ended() == before && len(out.partial) <= stream.MaxEventBytes; {
		var n int
		n, err = r.Read(buffer)
		if length := cursor.Advance(buffer[:n]); length > 0 {
			end = len(out.partial) + length
		}
		out.partial = append(out.partial, buffer[:n]...)
	}
	return end, err //nolint:wrapcheck // io.EOF is compared by value
}

// writeEvents writes complete events to the caller, preceded by the header of
// the first engine's answer, and keeps the ID of the last event to resume from.
func (f *inflightCall) writeEvents(control *http.ResponseController, a *http.Response, out *answerStream, events []byte) error {
	if !out.headSent {
		f.codec.CopyHeader(f.w.Header(), a)
		f.w.WriteHeader(a.StatusCode)
		out.headSent = true
	}
	for line := range bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			out.lastEventID = string(bytes.TrimSpace(id))
			out.events++
		}
	}
	if _, err := f.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCallerConn, err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerConn, err)
	}
	return nil
}
