// Package once implements at-most-once execution of calls as a state machine
// without I/O. The start of an attempt is recorded in the ledger before the
// call is sent, and the caller is told "not run" only after the ledger has
// closed the attempt, so that it can't start any more.
package once

import (
	"time"

	"verbenahaven.example/core/conn/proto"
)

// Action is what the driver must do next.
type Action string

// Actions.
const (
	Begin  Action = "begin"  // ask the ledger to record the start
	Send   Action = "send"   // send the call to a backend server
	Finish Action = "finish" // ask the ledger to record the outcome
	Close  Action = "close"  // ask the ledger to close the attempt
	Wait   Action = "wait"   // wait, then ask the ledger again to record the start
	Answer Action = "answer" // answer the caller
)

// Ran says whether the call was executed, as far as is known.
type Ran string

// Execution statuses.
const (
	RanNot     Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Reason says why a call ended without an answer of the backend server.
type Reason string

// Reasons.
const (
	ReasonNone     Reason = ""
	ReasonBusy     Reason = "busy"     // another attempt was still running the call
	ReasonConflict Reason = "conflict" // the key belongs to another request
	ReasonFull     Reason = "full"     // the ledger is full
	ReasonLost     Reason = "lost"     // the holder of an attempt vanished, or the connection broke
	ReasonLedger   Reason = "ledger"   // the ledger was unreachable
	ReasonUnsent   Reason = "unsent"   // no backend server accepted the call
	ReasonDeadline Reason = "deadline" // the deadline passed before the call was sent
	ReasonClosed   Reason = "closed"   // this attempt had been closed before
)

// Result is the response of the backend server.
type Result struct {
	Status int
	Type   string
	Body   []byte
}

// Sent is the outcome of a send.
type Sent string

// Outcomes of a send.
const (
	SentNothing  Sent = "nothing"  // no byte was written
	SentAnswered Sent = "answered" // the complete answer was received
	SentBroken   Sent = "broken"   // bytes were written, but the answer is lost
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

// Call is one attempt of a caller at an at-most-once call. The driver executes
// each Action that a method returns and reports its result with the next
// method.
type Call struct {
	phase      phase
	written    bool // bytes of the call may have reached the backend server
	sends      int
	result     Result
	replayed   bool
	execution  Ran
	reason     Reason
	retryAfter time.Duration
}

// New returns a call whose first action is RecordStart.
func New() *Call {
	return &Call{phase: phaseRecordStart, execution: RanUnknown}
}

// Begun processes the ledger's reply to the start.
func (c *Call) Begun(r proto.OnceReply) Action {
	c.requirePhase(phaseRecordStart)
	c.retryAfter = r.Retry
	switch r.Verdict {
	case proto.VerdictStart:
		c.phase = phaseSend
		return Send
	case proto.VerdictReplay:
		c.result, c.replayed = Result{Status: r.Status, Type: r.Type, Body: r.Body}, true
		return c.end(RanYes, ReasonNone)
	case proto.VerdictBusy:
		c.reason = ReasonBusy
		return Wait
	case proto.VerdictUnknown:
		return c.end(RanUnknown, ReasonLost)
	case proto.VerdictConflict:
		// The key belongs to another request, so this one was never started.
		return c.end(RanNot, ReasonConflict)
	case proto.VerdictFull:
		return c.close(ReasonFull)
	case proto.VerdictClosed:
		return c.end(RanNot, ReasonClosed)
	default:
		return c.close(ReasonLedger)
	}
}

// BeginFailed processes a missing reply to the start. The ledger may have
// recorded it nevertheless, so the attempt must be closed.
func (c *Call) BeginFailed() Action {
	c.requirePhase(phaseRecordStart)
	return c.close(ReasonLedger)
}

// GaveUp ends the attempt because the deadline passed while another attempt was
// running the call.
func (c *Call) GaveUp() Action {
	c.requirePhase(phaseRecordStart)
	return c.end(RanUnknown, ReasonBusy)
}

// Abandon closes the attempt because the call won't be sent, or sent again.
func (c *Call) Abandon(reason Reason) Action {
	c.requirePhase(phaseSend)
	if c.written {
		panic("once: attempt abandoned after bytes were written")
	}
	return c.close(reason)
}

// Sent processes the outcome of a send. The call may be sent again only if no
// byte of it was written.
func (c *Call) Sent(outcome Sent, r Result) Action {
	c.requirePhase(phaseSend)
	if c.written {
		panic("once: call sent again after bytes were written")
	}
	c.sends++
	switch outcome {
	case SentNothing:
		return Send
	case SentAnswered:
		c.written, c.result = true, r
		c.execution, c.reason = RanYes, ReasonNone
	default:
		c.written = true
		c.execution, c.reason = RanUnknown, ReasonLost
	}
	c.phase = phaseRecordOutcome
	return Finish
}

// Finished ends the attempt after the outcome was recorded, or after the ledger
// turned out to be unreachable: the caller then gets what is known here.
func (c *Call) Finished() Action {
	c.requirePhase(phaseRecordOutcome)
	return c.end(c.execution, c.reason)
}

// Closed processes the ledger's reply to the close.
func (c *Call) Closed(r proto.OnceReply) Action {
	c.requirePhase(phaseClose)
	if r.Retry > 0 {
		c.retryAfter = r.Retry
	}
	switch r.Verdict {
	case proto.VerdictClosed:
		return c.end(RanNot, c.reason)
	case proto.VerdictReplay:
		c.result, c.replayed = Result{Status: r.Status, Type: r.Type, Body: r.Body}, true
		return c.end(RanYes, ReasonNone)
	default:
		return c.end(RanUnknown, c.reason)
	}
}

// CloseFailed processes a missing reply to the close: whether the call ran
// remains unknown.
func (c *Call) CloseFailed() Action {
	c.requirePhase(phaseClose)
	return c.end(RanUnknown, c.reason)
}

// close returns the action that closes the attempt, for the given reason.
func (c *Call) close(reason Reason) Action {
	c.phase, c.reason = phaseClose, reason
	return Close
}

// end sets the outcome and returns the action that reports it to the caller.
func (c *Call) end(execution Ran, reason Reason) Action {
	if execution == RanNot && c.written {
		panic("once: outcome not_run after bytes were written")
	}
	c.phase, c.execution, c.reason = phaseDone, execution, reason
	return Answer
}

// requirePhase panics if the call isn't in phase p.
func (c *Call) requirePhase(p phase) {
	if c.phase != p {
		panic("once: method for phase " + string(p) + " called in phase " + string(c.phase))
	}
}

// Outcome returns the outcome to report to the caller.
func (c *Call) Outcome() (Ran, Reason, Result) {
	c.requirePhase(phaseDone)
	return c.execution, c.reason, c.result
}

// Unknown reports whether the outcome to record is unknown.
func (c *Call) Unknown() bool { return c.execution == RanUnknown }

// Result returns the answer to record.
func (c *Call) Result() Result { return c.result }

// Replayed reports whether the answer was recorded by an earlier attempt.
func (c *Call) Replayed() bool { return c.replayed }

// Sends returns the number of sends that were tried.
func (c *Call) Sends() int { return c.sends }

// Retry returns the time after which the ledger asks to retry, 0 if it gave
// none.
func (c *Call) Retry() time.Duration { return c.retryAfter }
