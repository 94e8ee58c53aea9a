// Package once implements run-once calls, which must run at most once, as a
// state machine without I/O. The start of an attempt is recorded in the ledger
// before the call is sent, and the caller is told "not run" only after the
// ledger has closed the attempt, so that it can't start any more.
package once

import (
	"time"

	"verbenahaven.example/core/conn/proto"
)

// Action is what the driver must do next.
type Action string

// Actions.
const (
	RecordStart   Action = "begin"  // ask the ledger to record the start
	Send          Action = "send"   // send the call to a backend server
	RecordOutcome Action = "finish" // ask the ledger to record the outcome
	CloseAttempt  Action = "close"  // ask the ledger to close the attempt
	WaitForOther  Action = "wait"   // wait, then ask the ledger again to record the start
	Respond       Action = "answer" // answer the caller
)

// Execution says whether the call was executed, as far as is known.
type Execution string

// Execution statuses.
const (
	NotExecuted      Execution = "not_run"
	Executed         Execution = "ran"
	ExecutionUnknown Execution = "unknown"
)

// Reason says why a call ended without a response of the backend server.
type Reason string

// Reasons.
const (
	ReasonNone              Reason = ""
	ReasonBusy              Reason = "busy"     // another attempt was still running the call
	ReasonConflict          Reason = "conflict" // the key belongs to another request
	ReasonLedgerFull        Reason = "full"     // the ledger is full
	ReasonLost              Reason = "lost"     // the holder of an attempt was lost, or the connection broke
	ReasonLedgerUnreachable Reason = "ledger"   // the ledger was unreachable
	ReasonNotSent           Reason = "unsent"   // no backend server accepted the call
	ReasonDeadline          Reason = "deadline" // the deadline passed before the call was sent
	ReasonClosed            Reason = "closed"   // this attempt had been closed before
)

// Result is the response of the backend server.
type Result struct {
	Status int
	Type   string
	Body   []byte
}

// SendOutcome is the outcome of a send.
type SendOutcome string

// Outcomes of a send.
const (
	SendWroteNothing SendOutcome = "nothing"  // no byte was written
	SendAnswered     SendOutcome = "answered" // the complete response was received
	SendBroken       SendOutcome = "broken"   // bytes were written, but the response is missing or incomplete
)

// phase is what a call waits for next.
type phase string

const (
	phaseRecordStart   phase = "begin"
	phaseSend          phase = "send"
	phaseRecordOutcome phase = "finish"
	phaseClose         phase = "close"
	phaseDone          phase = "done"
)

// Call is one attempt of a caller at a run-once call. The driver executes
// each Action that a method returns and reports its result with the next
// method.
type Call struct {
	phase      phase
	written    bool // bytes of the call may have reached the backend server
	sends      int
	result     Result
	replayed   bool
	execution  Execution
	reason     Reason
	retryAfter time.Duration
}

// New returns a call whose first action is RecordStart.
func New() *Call {
	return &Call{phase: phaseRecordStart, execution: ExecutionUnknown}
}

// OnStartReply processes the ledger's reply to the start.
func (c *Call) OnStartReply(r proto.OnceReply) Action {
	c.requirePhase(phaseRecordStart)
	c.retryAfter = r.RetryAfter
	switch r.Verdict {
	case proto.VerdictProceed:
		c.phase = phaseSend
		return Send
	case proto.VerdictReplay:
		c.result, c.replayed = Result{Status: r.Status, Type: r.ContentType, Body: r.Body}, true
		return c.end(Executed, ReasonNone)
	case proto.VerdictBusy:
		c.reason = ReasonBusy
		return WaitForOther
	case proto.VerdictOutcomeUnknown:
		return c.end(ExecutionUnknown, ReasonLost)
	case proto.VerdictConflict:
		// The key belongs to another request, so this one was never started.
		return c.end(NotExecuted, ReasonConflict)
	case proto.VerdictFull:
		return c.close(ReasonLedgerFull)
	case proto.VerdictClosed:
		return c.end(NotExecuted, ReasonClosed)
	default:
		return c.close(ReasonLedgerUnreachable)
	}
}

// OnStartFailed processes a missing reply to the start. The ledger may have
// recorded it nevertheless, so the attempt must be closed.
func (c *Call) OnStartFailed() Action {
	c.requirePhase(phaseRecordStart)
	return c.close(ReasonLedgerUnreachable)
}

// OnWaitTimeout ends the attempt because the deadline passed while another
// attempt was running the call.
func (c *Call) OnWaitTimeout() Action {
	c.requirePhase(phaseRecordStart)
	return c.end(ExecutionUnknown, ReasonBusy)
}

// Abandon closes the attempt because the call won't be sent, or sent again.
func (c *Call) Abandon(reason Reason) Action {
	c.requirePhase(phaseSend)
	if c.written {
		panic("once: attempt abandoned after bytes were written")
	}
	return c.close(reason)
}

// OnSent processes the outcome of a send. The call may be sent again only if no
// byte of it was written.
func (c *Call) OnSent(outcome SendOutcome, r Result) Action {
	c.requirePhase(phaseSend)
	if c.written {
		panic("once: call sent again after bytes were written")
	}
	c.sends++
	switch outcome {
	case SendWroteNothing:
		return Send
	case SendAnswered:
		c.written, c.result = true, r
		c.execution, c.reason = Executed, ReasonNone
	default:
		c.written = true
		c.execution, c.reason = ExecutionUnknown, ReasonLost
	}
	c.phase = phaseRecordOutcome
	return RecordOutcome
}

// OnOutcomeRecorded ends the attempt after the outcome was recorded, or after
// the ledger turned out to be unreachable: the caller then gets what is known
// here.
func (c *Call) OnOutcomeRecorded() Action {
	c.requirePhase(phaseRecordOutcome)
	return c.end(c.execution, c.reason)
}

// OnCloseReply processes the ledger's reply to the close.
func (c *Call) OnCloseReply(r proto.OnceReply) Action {
	c.requirePhase(phaseClose)
	if r.RetryAfter > 0 {
		c.retryAfter = r.RetryAfter
	}
	switch r.Verdict {
	case proto.VerdictClosed:
		return c.end(NotExecuted, c.reason)
	case proto.VerdictReplay:
		c.result, c.replayed = Result{Status: r.Status, Type: r.ContentType, Body: r.Body}, true
		return c.end(Executed, ReasonNone)
	default:
		return c.end(ExecutionUnknown, c.reason)
	}
}

// OnCloseFailed processes a missing reply to the close: whether the call ran
// remains unknown.
func (c *Call) OnCloseFailed() Action {
	c.requirePhase(phaseClose)
	return c.end(ExecutionUnknown, c.reason)
}

// close returns the action that closes the attempt, for the given reason.
func (c *Call) close(reason Reason) Action {
	c.phase, c.reason = phaseClose, reason
	return CloseAttempt
}

// end sets the outcome and returns the action that reports it to the caller.
func (c *Call) end(execution Execution, reason Reason) Action {
	if execution == NotExecuted && c.written {
		panic("once: outcome not_run after bytes were written")
	}
	c.phase, c.execution, c.reason = phaseDone, execution, reason
	return Respond
}

// requirePhase panics if the call isn't in phase p.
func (c *Call) requirePhase(p phase) {
	if c.phase != p {
		panic("once: method for phase " + string(p) + " called in phase " + string(c.phase))
	}
}

// Outcome returns the outcome to report to the caller.
func (c *Call) Outcome() (Execution, Reason, Result) {
	c.requirePhase(phaseDone)
	return c.execution, c.reason, c.result
}

// OutcomeUnknown reports whether the outcome to record is unknown.
func (c *Call) OutcomeUnknown() bool { return c.execution == ExecutionUnknown }

// Result returns the backend server's response, to be recorded.
func (c *Call) Result() Result { return c.result }

// Replayed reports whether the answer was recorded by an earlier attempt.
func (c *Call) Replayed() bool { return c.replayed }

// Sends returns the number of sends that were tried.
func (c *Call) Sends() int { return c.sends }

// RetryAfter returns the time after which the ledger asks to retry, 0 if it
// gave none.
func (c *Call) RetryAfter() time.Duration { return c.retryAfter }
