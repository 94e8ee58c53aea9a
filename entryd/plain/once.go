package plain

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/safe"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
)

const (
	ledgerTimeout           = 2500 * time.Millisecond
	backgroundRecordTimeout = 20 * time.Second
	ledgerBusyPause         = 50 * time.Millisecond
	// closeAfterCut is how long an attempt may be closed after running calls are cut: the
	// callers' connections end soon after.
	closeAfterCut = 50 * time.Millisecond
	// answerAfterCut is when the callers of calls that still run are told so: what closes
	// until then is known not to have run.
	answerAfterCut = closeAfterCut + 10*time.Millisecond
)

var errNoOutcome = errors.New("the call has no outcome")

// onceCall drives the state machine of one run-once call.
type onceCall struct {
	*Dispatcher
	call        *Call
	state       *once.Call
	baseRequest proto.OnceRequest
	pass        *screen.Pass
	held        error         // why the call wasn't sent, if it may crash servers
	stopping    error         // the refusal of a call that wasn't sent since the instance is shutting down
	cut         bool          // the instance stopped while the call waited for its turn
	wait        time.Duration // until a server takes it, if none was found
	untilCut    untilCut
}

// doOnceUntilCut runs a call. Its outcome must be recorded even if the caller disconnects, or
// gets its answer since running calls are cut: then the call goes on.
func (s *Dispatcher) doOnceUntilCut(caller context.Context, c *Call) (Answer, error) {
	ctx, done := s.recorder.begin(caller)
	var answer Answer
	err := errNoOutcome
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer done()
		safe.Run(s.meter, "run-once call", c.ID, func() {
			answer, err = s.doWithin(ctx, c, func(ctx context.Context, c *Call) (Answer, error) { return s.doOnce(ctx, caller, c) })
		})
	}()
	cut, stop := endAtCut(context.WithoutCancel(caller), caller, answerAfterCut)
	defer stop()
	select {
	case <-ended:
		return answer, err
	case <-cut.Done():
		return Answer{}, fault.New(fault.CodeStopping, leave.ErrCut.Error()).Execution(once.ExecutionUnknown).RetryAfter(retryAfter)
	}
}

// doOnce runs a call. ctx bounds it; caller is the context of who sent it, and ends only its
// waits, when the instance stops.
func (s *Dispatcher) doOnce(ctx, caller context.Context, c *Call) (Answer, error) {
	if err := s.checkSend(ctx, c); err != nil {
		return Answer{}, err
	}
	o := &onceCall{Dispatcher: s, call: c, state: once.New(), pass: s.beginPass(c), baseRequest: proto.OnceRequest{
		Account:     c.Account,
		Service:     c.Service.Name,
		Key:         c.Key,
		Fingerprint: fingerprint(c),
		Attempt:     c.ID,
		Holder:      s.settings.Holder,
	}}
	o.untilCut = func(ctx context.Context, delay time.Duration) (context.Context, func()) {
		return endAtCut(ctx, caller, delay)
	}
	defer o.pass.Close()
	turn, stop := o.untilCut(ctx, 0)
	defer stop()
	action := once.RecordStart
	for action != once.Respond {
		action = o.perform(ctx, turn, action)
	}
	return o.answer()
}

// untilCut returns a context that also ends a delay after running calls are cut.
type untilCut func(ctx context.Context, delay time.Duration) (context.Context, func())

// endAtCut is untilCut for the call of a caller, whose context ends at the cut.
func endAtCut(ctx, caller context.Context, delay time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(caller, func() {
		if cause := context.Cause(caller); errors.Is(cause, leave.ErrCut) {
			clock.Sleep(ctx, delay)
			cancel(cause)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// perform takes a step. turn ends the wait for the call's turn.
func (o *onceCall) perform(ctx, turn context.Context, action once.Action) once.Action {
	switch action {
	case once.RecordStart:
		return o.begin(turn)
	case once.WaitForOther:
		if turn.Err() != nil {
			o.cut = errors.Is(context.Cause(turn), leave.ErrCut)
			return o.state.OnWaitTimeout()
		}
		clock.Sleep(turn, ledgerBusyPause)
		return once.RecordStart
	case once.Send:
		return o.sendAttempt(ctx)
	case once.RecordOutcome:
		return o.finish(ctx)
	case once.CloseAttempt:
		return o.close(ctx)
	default:
		panic("plain: unknown action " + string(action))
	}
}

// callLedger performs one step at the ledger. Steps are idempotent.
func (o *onceCall) callLedger(ctx context.Context, step proto.OnceStep, limit time.Duration) (proto.OnceReply, error) {
	return o.askLedger(ctx, o.newRequest(step), limit)
}

func (o *onceCall) newRequest(step proto.OnceStep) proto.OnceRequest {
	r := o.baseRequest
	r.Step = step
	if step == proto.OnceFinish {
		v := o.state.Result()
		r.OutcomeUnknown, r.Status, r.ContentType, r.Body = o.state.OutcomeUnknown(), v.Status, v.Type, v.Body
	}
	return r
}

// askLedger doesn't use the state of the call, so that it may run beside it.
func (o *onceCall) askLedger(ctx context.Context, r proto.OnceRequest, limit time.Duration) (proto.OnceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := o.keeper.Once(ctx, r)
	if err != nil {
		o.meter.Count("once", string(r.Step), "failed")
		return reply, err //nolint:wrapcheck // only counted and classified
	}
	o.meter.Count("once", string(r.Step), string(reply.Verdict))
	return reply, nil
}

func (o *onceCall) begin(ctx context.Context) once.Action {
	r, err := o.callLedger(ctx, proto.OnceBegin, ledgerTimeout)
	if err != nil {
		o.cut = errors.Is(context.Cause(ctx), leave.ErrCut)
		return o.state.OnStartFailed()
	}
	return o.state.OnStartReply(r)
}

// sendAttempt sends the call over a new connection: a pooled connection that was
// lost unnoticed would leave the outcome unknown.
func (o *onceCall) sendAttempt(ctx context.Context) once.Action {
	number := o.state.Sends() + 1
	if ctx.Err() != nil {
		return o.state.Abandon(once.ReasonDeadline)
	}
	if number > maxAttempts {
		return o.state.Abandon(once.ReasonNotSent)
	}
	if o.stopping = o.checkSend(ctx, o.call); o.stopping != nil {
		return o.state.Abandon(once.ReasonNotSent)
	}
	if o.held = o.pass.Permit(ctx); o.held != nil {
		return o.state.Abandon(once.ReasonNotSent)
	}
	v, release, err := o.balancer.ReserveServer(o.clock.Now(), o.call.Service.Name, nil)
	if err != nil {
		o.pass.Spared(false)
		o.wait = picker.RetryAfter(err, retryAfter)
		return o.state.Abandon(once.ReasonNotSent)
	}
	defer release()
	written := false
	check := func() error {
		o.stopping = o.checkSend(ctx, o.call)
		return o.stopping
	}
	r, answered, err := o.send(pool.WithSendCheck(ctx, check), o.call, v, number, func(r *http.Request) (*http.Response, error) {
		a, w, err := o.pool.DoUnpooled(r)
		written = w
		return a, err //nolint:wrapcheck // wrapped by the pool
	})
	o.call.Record.AddStep(o.traceStep(o.call, v, number, err))
	switch {
	case err == nil:
		o.pass.Completed()
		return o.state.OnSent(once.SendAnswered, r)
	case written || answered:
		screenFailure(o.pass, v.Name, pool.RetryReason(err), err)
		o.meter.Count("once", "broken")
		return o.state.OnSent(once.SendBroken, once.Result{})
	case o.stopping != nil:
		o.pass.Spared(false)
		return o.state.Abandon(once.ReasonNotSent)
	default:
		o.pass.Spared(false)
		o.meter.Count("retry", "unsent")
		o.balancer.AvoidServer(o.clock.Now(), v.Name)
		action := o.state.OnSent(once.SendWroteNothing, once.Result{})
		o.backOff(ctx, number)
		return action
	}
}

// finish records the outcome. If the ledger can't be reached, or running calls are cut,
// recording goes on in the background after the caller got its answer.
func (o *onceCall) finish(ctx context.Context) once.Action {
	ctx, done := o.recorder.begin(ctx)
	outcome := o.newRequest(proto.OnceFinish)
	first, stop := o.untilCut(ctx, 0)
	defer stop()
	if _, err := o.askLedger(first, outcome, ledgerTimeout); err == nil {
		done()
		return o.state.OnOutcomeRecorded()
	}
	o.call.memory.retain()
	go func() {
		defer o.call.memory.release()
		defer done()
		if _, err := o.askLedger(ctx, outcome, backgroundRecordTimeout); err != nil {
			o.meter.Count("once", "unrecorded")
			klog.ErrorS(err, "outcome of a run-once call not recorded", "call", o.call.ID, "service", o.call.Service.Name)
		}
	}()
	return o.state.OnOutcomeRecorded()
}

func (o *onceCall) close(ctx context.Context) once.Action {
	ctx, stop := o.untilCut(context.WithoutCancel(ctx), closeAfterCut)
	defer stop()
	r, err := o.callLedger(ctx, proto.OnceClose, ledgerTimeout)
	if err != nil {
		return o.state.OnCloseFailed()
	}
	return o.state.OnCloseReply(r)
}

var faultCodes = map[once.Reason]fault.Code{
	once.ReasonBusy:              fault.CodeBusy,
	once.ReasonConflict:          fault.CodeConflict,
	once.ReasonLedgerFull:        fault.CodeLedgerFull,
	once.ReasonLost:              fault.CodeOutcomeLost,
	once.ReasonLedgerUnreachable: fault.CodeLedgerUnreachable,
	once.ReasonNotSent:           fault.CodeNotSent,
	once.ReasonDeadline:          fault.CodeDeadline,
	once.ReasonClosed:            fault.CodeNotSent,
}

func (o *onceCall) answer() (Answer, error) {
	ran, reason, result := o.state.Outcome()
	if reason == once.ReasonNone {
		return Answer{Result: result, Replayed: o.state.Replayed()}, nil
	}
	if o.stopping != nil && ran == once.NotExecuted {
		return Answer{}, o.stopping
	}
	if o.held != nil && ran == once.NotExecuted {
		return Answer{}, heldFault(o.held, ran)
	}
	if o.cut {
		return Answer{}, fault.New(fault.CodeStopping, leave.ErrCut.Error()).Execution(ran).RetryAfter(cmp.Or(o.state.RetryAfter(), retryAfter))
	}
	code, ok := faultCodes[reason]
	if !ok {
		panic("plain: no code for reason " + string(reason))
	}
	wait := o.state.RetryAfter()
	if wait == 0 && code != fault.CodeConflict {
		wait = max(retryAfter, o.wait)
	}
	return Answer{}, fault.New(code, "the call ended: "+string(reason)).Execution(ran).RetryAfter(wait)
}

// fingerprint returns a hash of the request, by which the reuse of a key for
// another request is detected.
func fingerprint(c *Call) string {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Target, c.Type} {
		_, _ = io.WriteString(h, part)
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func hostOf(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return raw
	}
	return u.Host
}
