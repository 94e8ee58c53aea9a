package once_test

import (
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/once"
)

// ledger is a record that other attempts may have changed, with replies that
// get lost.
var verdicts = []proto.Verdict{
	proto.VerdictStart, proto.VerdictReplay, proto.VerdictBusy, proto.VerdictUnknown, proto.VerdictConflict,
	proto.VerdictFull, proto.VerdictClosed, proto.VerdictDone, proto.VerdictNone,
}

// Whatever the ledger and the backend server do: bytes leave at most once,
// only after the ledger said start, and "not run" is told only if none left
// and, after a start was asked for, the attempt is closed.
func TestAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := once.New()
		started, closed, refused := false, false, false
		written := 0
		action := once.Begin
		for steps := 0; action != once.Answer; steps++ {
			lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
			verdict := proto.OnceReply{Verdict: rapid.SampledFrom(verdicts).Draw(t, "verdict")}
			switch action {
			case once.Begin:
				if lost {
					action = c.BeginFailed()
					continue
				}
				started = verdict.Verdict == proto.VerdictStart
				refused = verdict.Verdict == proto.VerdictConflict || verdict.Verdict == proto.VerdictClosed
				action = c.Begun(verdict)
			case once.Wait:
				action = once.Begin
				if steps > 20 {
					action = c.GaveUp()
				}
			case once.Send:
				if !started {
					t.Fatal("sent without a recorded start")
				}
				if rapid.Bool().Draw(t, "abandon") {
					action = c.Abandon(once.ReasonUnsent)
					continue
				}
				outcome := rapid.SampledFrom([]once.Sent{once.SentNothing, once.SentAnswered, once.SentBroken}).Draw(t, "sent")
				if outcome != once.SentNothing {
					written++
				}
				action = c.Sent(outcome, once.Result{Status: 200})
			case once.Finish:
				action = c.Finished()
			case once.Close:
				if lost {
					action = c.CloseFailed()
					continue
				}
				closed = verdict.Verdict == proto.VerdictClosed
				action = c.Closed(verdict)
			}
		}
		ran, reason, result := c.Outcome()
		if written > 1 {
			t.Fatalf("written %d times", written)
		}
		if ran == once.RanNot && (written > 0 || (!closed && !refused)) {
			t.Fatalf("told not run: %d sends, closed %v, reason %s", written, closed, reason)
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
		t.Fatalf("after a broken send: %s", got)
	}
	c.Finished()
	if ran, reason, _ := c.Outcome(); ran != once.RanUnknown || reason != once.ReasonLost {
		t.Fatalf("told %s, %s", ran, reason)
	}
}
