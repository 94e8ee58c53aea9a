package leave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"verbenahaven.example/core/request/leave"
)

func TestCallIsTakenOnlyIfItsLongestAnswerEnds(t *testing.T) {
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		scan := func(key string) (v time.Duration) {
			var text string
			if d.MaybeScanArgs(t, key, &text) {
				var err error
				if v, err = time.ParseDuration(text); err != nil {
					d.Fatalf(t, "%s: %v", key, err)
				}
			}
			return v
		}
		c := leave.Call{TimeLeft: scan("deadline"), Start: scan("start"), Gap: scan("gap")}
		d.MaybeScanArgs(t, "events", &c.Events)
		verdict := "refused"
		if c.EndsWithin(scan("left")) {
			verdict = "taken"
		}
		return fmt.Sprintf("%s, longest %v\n", verdict, c.Longest())
	})
}

func TestCutLeavesTimeForAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/schedules", func(t *testing.T, d *datadriven.TestData) string {
		var text string
		d.ScanArgs(t, "grace", &text)
		grace, err := time.ParseDuration(text)
		if err != nil {
			d.Fatalf(t, "grace: %v", err)
		}
		s := leave.NewSchedule(grace)
		return fmt.Sprintf("refuse %v, close %v, cut %v, end %v\n", s.Refuse, s.Close, s.Cut, s.End)
	})
}

// Plays calls of instances that leave, with gaps and pauses within what engines do.
func TestTakenCallIsNeverCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		c := leave.Call{
			TimeLeft: ms("deadline", 60_000), Start: ms("start", 1000), Gap: ms("gap", 300),
			Events: rapid.IntRange(0, 400).Draw(t, "events"),
		}
		left := ms("left", 30_000)
		if !c.EndsWithin(left) {
			return
		}
		took := 2*ms("firstEvent", int(c.Start.Milliseconds())) + ms("silence", 2000)
		if c.Gap == 0 || c.Events == 0 {
			took = ms("unknown", 60_000)
		}
		for range c.Events {
			took += ms("eventGap", int(c.Gap.Milliseconds()*3/2))
		}
		if took = min(took, c.TimeLeft); took > left {
			t.Fatalf("%+v was taken with %v left and ran %v", c, left, took)
		}
	})
}
