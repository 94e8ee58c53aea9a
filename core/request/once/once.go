// Package once is the state machine of a call that must run at most once. It
// records the start before the call leaves, and answers "not run" only after
// the ledger promised that this attempt can't start any more.
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
	Send   Action = "send"   // send the call
	Finish Action = "finish" // record the outcome
	Close  Action = "close"  // have the attempt closed in the ledger
	Wait   Action = "wait"   // ask again after a while
	Answer Action = "answer" // answer the caller
)

// Ran tells the caller whether the call ran.
type Ran string

// Values of Ran.
const (
	RanNot     Ran = "not_run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Reason tells why a call ended without an answer of the backend server.
type Reason string

// Reasons.
const (
	ReasonNone     Reason = ""
	ReasonBusy     Reason = "busy"
	ReasonConflict Reason = "conflict"
	ReasonFull     Reason = "full"
	ReasonLost     Reason = "lost"     // a holder vanished, or the connection broke
	ReasonLedger   Reason = "ledger"   // the ledger couldn't be reached
	ReasonUnsent   Reason = "unsent"   // no backend server took the call
	ReasonDeadline Reason = "deadline" // no time was left before it was sent
	ReasonClosed   Reason = "closed"   // this attempt was closed before
)

// Result is an answer of the backend server.
type Result struct {
	Status int
	Type   string
	Body   []byte
}

// Sent is the outcome of a send.
type Sent string

// Outcomes of a send.
const (
	SentNothing  Sent = "nothing"  // not one byte was written
	SentAnswered Sent = "answered" // the whole answer is there
	SentBroken   Sent = "broken"   // something was written, the answer is lost
)

type phase string

const (
	phaseBegin  phase = "begin"
	phaseSend   phase = "send"
	phaseFinish phase = "finish"
	phaseClose  phase = "close"
	phaseDone   phase = "done"
)

// Call is one attempt of a caller at a run-once call.
type Call struct {
	phase   phase
	written bool // a send may have reached the backend server
	sends   int
	result  Result
	replay  bool
	ran     Ran
	reason  Reason
	retry   time.Duration
}

// New returns a call whose first action is Begin.
func New() *Call {
	return &Call{phase: phaseBegin, ran: RanUnknown}
}

// Begun takes the ledger's verdict on the start.
func (c *Call) Begun(r proto.OnceReply) Action {
	c.expect(phaseBegin)
	c.retry = r.Retry
	switch r.Verdict {
	case proto.VerdictStart:
		c.phase = phaseSend
		return Send
	case proto.VerdictReplay:
		c.result, c.replay = Result{Status: r.Status, Type: r.Type, Body: r.Body}, true
		return c.end(RanYes, ReasonNone)
	case proto.VerdictBusy:
		c.reason = ReasonBusy
		return Wait
	case proto.VerdictUnknown:
		return c.end(RanUnknown, ReasonLost)
	case proto.VerdictConflict:
		// The key belongs to another request: this one was never started.
		return c.end(RanNot, ReasonConflict)
	case proto.VerdictFull:
		return c.close(ReasonFull)
	case proto.VerdictClosed:
		return c.end(RanNot, ReasonClosed)
	default:
		return c.close(ReasonLedger)
	}
}

// BeginFailed tells that the ledger didn't answer the start. It may have been
// recorded all the same.
func (c *Call) BeginFailed() Action {
	c.expect(phaseBegin)
	return c.close(ReasonLedger)
}

// GaveUp tells that the deadline passed while another holder was running it.
func (c *Call) GaveUp() Action {
	c.expect(phaseBegin)
	return c.end(RanUnknown, ReasonBusy)
}

// Abandon tells that no send will be tried, or tried again.
func (c *Call) Abandon(reason Reason) Action {
	c.expect(phaseSend)
	if c.written {
		panic("once: abandoned after bytes were written")
	}
	return c.close(reason)
}

// Sent takes the outcome of a send. Only a send of which nothing was written
// may be repeated.
func (c *Call) Sent(outcome Sent, r Result) Action {
	c.expect(phaseSend)
	if c.written {
		panic("once: a second send after bytes were written")
	}
	c.sends++
	switch outcome {
	case SentNothing:
		return Send
	case SentAnswered:
		c.written, c.result = true, r
		c.ran, c.reason = RanYes, ReasonNone
	default:
		c.written = true
		c.ran, c.reason = RanUnknown, ReasonLost
	}
	c.phase = phaseFinish
	return Finish
}

// Finished tells that the outcome is recorded, or that the ledger couldn't be
// reached: the caller gets what is known here.
func (c *Call) Finished() Action {
	c.expect(phaseFinish)
	return c.end(c.ran, c.reason)
}

// Closed takes the ledger's verdict on the close.
func (c *Call) Closed(r proto.OnceReply) Action {
	c.expect(phaseClose)
	if r.Retry > 0 {
		c.retry = r.Retry
	}
	switch r.Verdict {
	case proto.VerdictClosed:
		return c.end(RanNot, c.reason)
	case proto.VerdictReplay:
		c.result, c.replay = Result{Status: r.Status, Type: r.Type, Body: r.Body}, true
		return c.end(RanYes, ReasonNone)
	default:
		return c.end(RanUnknown, c.reason)
	}
}

// CloseFailed tells that the ledger didn't answer the close.
func (c *Call) CloseFailed() Action {
	c.expect(phaseClose)
	return c.end(RanUnknown, c.reason)
}

func (c *Call) close(reason Reason) Action {
	c.phase, c.reason = phaseClose, reason
	return Close
}

func (c *Call) end(ran Ran, reason Reason) Action {
	if ran == RanNot && c.written {
		panic("once: not_run after bytes were written")
	}
	c.phase, c.ran, c.reason = phaseDone, ran, reason
	return Answer
}

func (c *Call) expect(p phase) {
	if c.phase != p {
		panic("once: step of phase " + string(p) + " in phase " + string(c.phase))
	}
}

// Outcome returns what the caller is to be told.
func (c *Call) Outcome() (Ran, Reason, Result) {
	c.expect(phaseDone)
	return c.ran, c.reason, c.result
}

// Unknown reports whether the outcome to record is unknown.
func (c *Call) Unknown() bool { return c.ran == RanUnknown }

// Result returns the answer to record.
func (c *Call) Result() Result { return c.result }

// Replayed reports whether the answer was recorded by an earlier attempt.
func (c *Call) Replayed() bool { return c.replay }

// Sends counts the sends that were tried.
func (c *Call) Sends() int { return c.sends }

// Retry tells when to come back, 0 if the ledger didn't say.
func (c *Call) Retry() time.Duration { return c.retry }
