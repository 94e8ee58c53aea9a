package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/hedge"
	"verbenahaven.example/core/request/sched"
)

// run is an attempt of a generation at its decode engine.
type run struct {
	ticket  *ticket
	name    string // of the engine
	address string
	request *server.Request
	ctx     context.Context // of the exchange
	cancel  context.CancelCauseFunc
	started time.Time
	answer  *http.Response // nil until its head has arrived; written by send while pending is set
	onSend  func() error   // called once a connection is there, nil if nobody asks
	pending <-chan error   // gets the result of send if that goes on elsewhere, else nil
	counted bool           // as one that may have run
	begun   bool           // an event has arrived
	events  int            // that have arrived
	lastGap time.Time      // arrival of the last event, zero if the time to the next one tells nothing
}

// delivered reports whether the call had delivered events before the run.
func (r *run) delivered() bool { return r.request.LastEventID != "" }

// newRun returns a run on the engines of a scheduled generation, and a function that
// ends its exchange.
func (f *inflightCall) newRun(ctx context.Context, t *ticket, lastEventID string) (*run, func()) {
	engine := t.Plan.Decode
	r := &run{ticket: t, name: engine.Name, address: server.HostPort(engine.URL)}
	r.request = &server.Request{Call: f.call, ServerID: engine.Name, LastEventID: lastEventID, Priority: f.enginePriority(&t.Decision)}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	return r, func() { r.cancel(nil) }
}

// prepare computes the run's prompt at its prefill engine, if it has one.
func (f *inflightCall) prepare(ctx context.Context, r *run) error {
	plan := &r.ticket.Plan
	if err := f.checkCut(r); err != nil {
		f.pass.Spared(false)
		return err
	}
	if !f.mayRetry(plan.Split()) {
		f.pass.Spared(false)
		return errBudget
	}
	if plan.Split() {
		handle, err := f.prefill(ctx, r)
		if err != nil {
			return err
		}
		r.request.KVSource, r.request.KVHandle = server.HostPort(plan.Prefill.URL), handle
	} else if plan.FetchURL != "" {
		r.request.PrefixSource = server.HostPort(plan.FetchURL)
	}
	f.tries++
	return f.recheck(ctx, r)
}

// send sends the request to the decode engine and awaits the head of its answer.
func (f *inflightCall) send(r *run) error {
	r.request.TimeLeft = f.timeLeft()
	r.started = f.clock.Now()
	q := f.codec.EncodeRequest(r.request)
	q.OnSend = r.onSend
	a, err := f.do(r.ctx, r.name, r.address, q, func() error { return f.checkSend(r) }) //nolint:bodyclose // closed with the run
	r.answer = a
	return err
}

// await sends the request, unless it has been sent, and awaits the head of its answer.
func (f *inflightCall) await(r *run) error {
	if r.pending == nil {
		return f.send(r)
	}
	err := <-r.pending
	r.pending = nil
	return err
}

// accept takes the head of a run's answer. It returns nil if the event stream follows.
func (f *inflightCall) accept(ctx context.Context, r *run, out *answerStream) error {
	head := f.parseHead(r.name, r.answer)
	if head.NotExecuted {
		discard(r.answer, func() { r.cancel(nil) })
		return f.recordRefusal(r.ticket, r.name, r.answer)
	}
	f.countRun(r)
	if r.answer.StatusCode != http.StatusOK || !head.Signed {
		return f.handleNonStream(ctx, r.ticket, r.name, r.answer, out)
	}
	if !out.goesOnWith(r.answer) {
		f.recordNoStream(r)
		return fmt.Errorf("engine %s: %w", r.name, errNoStream)
	}
	return nil
}

// recordNoStream records that an engine answered what can't follow the events that the
// caller has.
func (f *inflightCall) recordNoStream(r *run) {
	f.avoid = append(f.avoid, r.name)
	f.pass.Spared(true)
	f.log.Warn("no stream to go on with", "request", f.call.ID, "engine", r.name, "type", r.answer.Header.Get("Content-Type"), "ms", f.elapsedMS())
	f.meter.Count("engine", "no_stream")
	r.ticket.engineFailed(r.name, false)
}

// countRun counts a run among those that may have executed the call.
func (f *inflightCall) countRun(r *run) {
	if !r.counted {
		r.counted = true
		f.mayHaveRun = append(f.mayHaveRun, r.name)
	}
}

// decode runs the call on the plan's decode engine and forwards its event stream. It
// returns the run that sent the last of it.
func (f *inflightCall) decode(ctx context.Context, r *run, out *answerStream) (*run, error) {
	for {
		next, err := f.follow(ctx, r, out)
		if next == nil {
			return r, err
		}
		f.log.Info("moved", "request", f.call.ID, "from", r.name, "to", next.name, "after", out.lastEventID, "ms", f.elapsedMS())
		f.recordLeft(r)
		if !r.begun {
			f.releasePrefill(ctx, r)
		}
		r.ticket.end(0, 0)
		r = next
		defer r.cancel(nil)
	}
}

// recordLeft records that a run was left for its engine's silence. That is no loss under
// the request: an engine that crashes breaks its connections.
func (f *inflightCall) recordLeft(r *run) {
	f.countRun(r)
	f.avoid = append(f.avoid, r.name)
	f.pool.CloseIdle(r.address)
	if !f.fleet.ownPathSuspicious(f.targetPool.Name, true) {
		r.ticket.engineFailed(r.name, true)
	}
}

// follow forwards the answer of a run. It returns another run if the stream goes on
// there.
func (f *inflightCall) follow(ctx context.Context, r *run, out *answerStream) (*run, error) {
	s := &standby{run: r, prepare: f.secondAttempt(ctx, r, out), counter: f.meter}
	if r.pending != nil || r.answer == nil {
		s.arm(ctx, f.firstEventTimeout(r.ticket))
		err := f.await(r)
		next := s.settle(err == nil)
		if next != nil {
			r.close()
			return next, nil
		}
		if err != nil {
			f.recordPossibleRun(r.name, err)
			f.recordEngineLoss(ctx, r.ticket, r.name, r.address, false, err)
			return nil, fmt.Errorf("decode: %w", err)
		}
		if err := f.accept(ctx, r, out); err != nil {
			r.close()
			return nil, err
		}
	}
	defer r.close()
	s.arm(ctx, f.firstEventTimeout(r.ticket))
	err := f.forwardStream(ctx, r, s, out)
	switch {
	case err == nil, errors.Is(err, errCallerConn):
		return nil, err
	case errors.Is(err, errMoved):
		return s.nextRun, nil
	}
	f.recordEngineLoss(ctx, r.ticket, r.name, r.address, r.begun, err)
	return nil, fmt.Errorf("decode: %w", err)
}

func (r *run) close() {
	if r.answer != nil {
		_ = r.answer.Body.Close()
	}
}

// beginEvents records that the first event of a run has arrived.
func (f *inflightCall) beginEvents(r *run) {
	r.begun = true
	f.countUsage()
	f.recordOrigin(r.ticket.Plan.Decode.Build)
	f.timeToFirstEvent = f.clock.Now().Sub(f.start)
	f.meter.Time(f.timeToFirstEvent, "first")
	r.ticket.firstEvent(f.clock.Now().Sub(r.started), f.timeToFirstEvent)
}

// secondAttempt returns the function that begins a second attempt of a call whose
// engine is silent. It returns nil if there can't be one now, or if its engine doesn't
// answer.
func (f *inflightCall) secondAttempt(call context.Context, first *run, out *answerStream) func(context.Context, func() bool) *run {
	return func(ctx context.Context, commit func() bool) *run {
		if !out.resumable() {
			return nil
		}
		t := f.scheduleSecond(ctx, first)
		if t == nil {
			return nil
		}
		f.logPlaced(t, out)
		tries := f.tries
		r, stop := f.newRun(call, t, out.lastEventID)
		if f.sendSecond(ctx, r, commit) {
			if r.pending != nil || out.goesOnWith(r.answer) {
				return r
			}
			f.recordNoStream(r)
		}
		if ctx.Err() != nil && r.started.IsZero() {
			f.tries = tries // the first engine went on before the second one was asked
		}
		stop()
		r.close()
		if call.Err() == nil {
			f.pass.Spared(!r.started.IsZero() || t.Plan.Split())
		}
		f.releasePrefill(ctx, r)
		t.end(0, 0)
		return nil
	}
}

// scheduleSecond schedules a second attempt beside a silent one, if the call's bounds
// and the retry budget allow it.
func (f *inflightCall) scheduleSecond(ctx context.Context, first *run) *ticket {
	runs := len(f.mayHaveRun)
	if !first.counted {
		runs++
	}
	b := hedge.Bounds{Runs: runs, MaxRuns: f.route.MaxAttempts, Tries: f.tries, MaxTries: maxTries, Suspected: f.pass.Suspected()}
	if !b.Allow() || f.pass.Permit(ctx) != nil {
		return nil
	}
	request := &sched.Request{TimeLeft: f.timeLeft()}
	request.ID, request.Pool, request.Prompt, request.Target = f.placeID(), f.targetPool.Name, f.call.Prompt, f.route.LatencyTarget
	request.Avoid, request.Build, request.GapTarget = append(slices.Clone(f.avoid), first.name), f.build, f.route.GapTarget
	t, err := f.fleet.schedule(ctx, f.clock.Now(), request)
	if err != nil {
		f.avoid = nil // those that had no room may have some next time
	}
	if err != nil || t.Refused {
		f.pass.Spared(false)
		return nil
	}
	if !f.mayRetry(t.Plan.Split()) {
		f.pass.Spared(false)
		t.end(0, 0)
		return nil
	}
	f.meter.Count("stream", "second")
	return t
}

// placeID returns an ID for the next attempt to be placed. The end of an attempt may be
// told again later, when another one of the call has been placed.
func (f *inflightCall) placeID() string {
	f.placed++
	if f.placed == 1 {
		return f.call.ID
	}
	return f.call.ID + "/" + strconv.Itoa(f.placed)
}

// awaitSecond sends a second attempt and awaits the head of its answer. It returns a
// channel for that if the engine has had the request for maxOverlap while the first one
// was silent. A first engine that goes on sooner, which ends ctx, is used only once the
// second one hasn't begun within that time: they would work side by side.
func (f *inflightCall) awaitSecond(ctx context.Context, r *run) (<-chan error, error) {
	pending, sent := make(chan error, 1), make(chan struct{})
	r.onSend = func() error {
		close(sent)
		return nil
	}
	go func() { pending <- f.send(r) }()
	giveUp := func() error {
		r.cancel(context.Cause(ctx))
		return cmp.Or(<-pending, context.Cause(ctx))
	}
	select {
	case <-sent:
	case <-ctx.Done():
		return nil, giveUp()
	case err := <-pending:
		return nil, err
	}
	timer := time.NewTimer(maxOverlap)
	defer timer.Stop()
	select {
	case err := <-pending:
		return nil, err
	case <-timer.C:
	}
	if ctx.Err() != nil {
		return nil, giveUp()
	}
	return pending, nil
}

// sendSecond sends a second attempt, and reports whether the call goes on with it. If ctx
// ends, the first engine has gone on.
func (f *inflightCall) sendSecond(ctx context.Context, r *run, commit func() bool) bool {
	if f.prepare(ctx, r) != nil || !commit() {
		return false
	}
	pending, err := f.awaitSecond(ctx, r)
	if pending != nil {
		r.pending = pending
		return true
	}
	if err != nil {
		f.recordPossibleRun(r.name, err)
		f.recordEngineLoss(ctx, r.ticket, r.name, r.address, false, err)
		return false
	}
	head := f.parseHead(r.name, r.answer)
	if !head.NotExecuted {
		f.countRun(r)
	}
	if r.answer.StatusCode != http.StatusOK || !head.Signed {
		_ = f.recordRefusal(r.ticket, r.name, r.answer)
		return false
	}
	return true
}
