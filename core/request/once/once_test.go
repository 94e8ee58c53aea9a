package once_test

import (
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/once"
)

// verdicts are the replies of a ledger that other attempts may have changed.
var verdicts = []proto.Verdict{
	proto.VerdictProceed, proto.VerdictReplay, proto.VerdictBusy, proto.VerdictOutcomeUnknown, proto.VerdictConflict,
	proto.VerdictFull, proto.VerdictClosed, proto.VerdictRecorded, proto.VerdictNotFound,
}

// Bytes are written at most once and only after the ledger recorded the start,
// whatever the ledger and the backend server reply and whichever replies are
// lost. "Not run" is reported only if no bytes were written and the attempt is
// closed or was rejected by the ledger.
func TestCallRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := once.New()
		started, closed, rejected := false, false, false
		writes := 0
		action := once.RecordStart
		for steps := 0; action != once.Respond; steps++ {
			replyLost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
			reply := proto.OnceReply{Verdict: rapid.SampledFrom(verdicts).Draw(t, "verdict")}
			switch action {
			case once.RecordStart:
				if replyLost {
					action = c.OnStartFailed()
					continue
				}
				started = reply.Verdict == proto.VerdictProceed
				rejected = reply.Verdict == proto.VerdictConflict || reply.Verdict == proto.VerdictClosed
				action = c.OnStartReply(reply)
			case once.WaitForOther:
				action = once.RecordStart
				if steps > 20 {
					action = c.OnWaitTimeout()
				}
			case once.Send:
				if !started {
					t.Fatal("the call was sent without a recorded start")
				}
				if rapid.Bool().Draw(t, "abandon") {
					action = c.Abandon(once.ReasonNotSent)
					continue
				}
				outcome := rapid.SampledFrom([]once.SendOutcome{once.SendWroteNothing, once.SendAnswered, once.SendBroken}).Draw(t, "sent")
				if outcome != once.SendWroteNothing {
					writes++
				}
				action = c.OnSent(outcome, once.Result{Status: 200})
			case once.RecordOutcome:
				action = c.OnOutcomeRecorded()
			case once.CloseAttempt:
				if replyLost {
					action = c.OnCloseFailed()
					continue
				}
				closed = reply.Verdict == proto.VerdictClosed
				action = c.OnCloseReply(reply)
			}
		}
		execution, reason, result := c.Outcome()
		if writes > 1 {
			t.Fatalf("bytes were written %d times", writes)
		}
		if execution == once.NotExecuted && (writes > 0 || (!closed && !rejected)) {
			t.Fatalf("reported as not run after %d writes, closed %v, reason %s", writes, closed, reason)
		}
		if (reason == once.ReasonNone) != (result.Status != 0 || c.Replayed()) {
			t.Fatalf("reason %q with result %+v", reason, result)
		}
	})
}

func TestWrittenCallIsNeverSentAgain(t *testing.T) {
	c := once.New()
	c.OnStartReply(proto.OnceReply{Verdict: proto.VerdictProceed})
	if got := c.OnSent(once.SendBroken, once.Result{}); got != once.RecordOutcome {
		t.Fatalf("action %s after a broken send, want finish", got)
	}
	c.OnOutcomeRecorded()
	if execution, reason, _ := c.Outcome(); execution != once.ExecutionUnknown || reason != once.ReasonLost {
		t.Fatalf("outcome %s, reason %s", execution, reason)
	}
}
