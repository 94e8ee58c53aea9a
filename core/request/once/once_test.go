package once_test

import (
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/once"
)

// verdicts are the replies of a ledger that other attempts may have changed.
var verdicts = []proto.Verdict{
	proto.VerdictStart, proto.VerdictReplay, proto.VerdictBusy, proto.VerdictUnknown, proto.VerdictConflict,
	proto.VerdictFull, proto.VerdictClosed, proto.VerdictDone, proto.VerdictNone,
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
		action := once.Begin
		for steps := 0; action != once.Answer; steps++ {
			replyLost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
			reply := proto.OnceReply{Verdict: rapid.SampledFrom(verdicts).Draw(t, "verdict")}
			switch action {
			case once.Begin:
				if replyLost {
					action = c.BeginFailed()
					continue
				}
				started = reply.Verdict == proto.VerdictStart
				rejected = reply.Verdict == proto.VerdictConflict || reply.Verdict == proto.VerdictClosed
				action = c.Begun(reply)
			case once.Wait:
				action = once.Begin
				if steps > 20 {
					action = c.GaveUp()
				}
			case once.Send:
				if !started {
					t.Fatal("the call was sent without a recorded start")
				}
				if rapid.Bool().Draw(t, "abandon") {
					action = c.Abandon(once.ReasonUnsent)
					continue
				}
				outcome := rapid.SampledFrom([]once.Sent{once.SentNothing, once.SentAnswered, once.SentBroken}).Draw(t, "sent")
				if outcome != once.SentNothing {
					writes++
				}
				action = c.Sent(outcome, once.Result{Status: 200})
			case once.Finish:
				action = c.Finished()
			case once.Close:
				if replyLost {
					action = c.CloseFailed()
					continue
				}
				closed = reply.Verdict == proto.VerdictClosed
				action = c.Closed(reply)
			}
		}
		execution, reason, result := c.Outcome()
		if writes > 1 {
			t.Fatalf("bytes were written %d times", writes)
		}
		if execution == once.RanNot && (writes > 0 || (!closed && !rejected)) {
			t.Fatalf("reported as not run after %d writes, closed %v, reason %s", writes, closed, reason)
		}
		if (reason == once.ReasonNone) != (result.Status != 0 || c.Replayed()) {
			t.Fatalf("reason %q with result %+v", reason, result)
		}
	})
}

func TestWrittenCallIsNeverSentAgain(t *testing.T) {
	c := once.New()
	c.Begun(proto.OnceReply{Verdict: proto.VerdictStart})
	if got := c.Sent(once.SentBroken, once.Result{}); got != once.Finish {
		t.Fatalf("action %s after a broken send, want finish", got)
	}
	c.Finished()
	if execution, reason, _ := c.Outcome(); execution != once.RanUnknown || reason != once.ReasonLost {
		t.Fatalf("outcome %s, reason %s", execution, reason)
	}
}
