package lead

import (
	"context"
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/duty"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/core/version/usage"
)

const (
	// usagePeriod is the time between two checks of what is to be recorded, closed or
	// reported.
	usagePeriod = 200 * time.Millisecond
	// maxUsageSteps bounds the commands of one check: after an outage of the keepers
	// many windows are closed at once.
	maxUsageSteps = 20
)

// startUsage discards what was received in an earlier term.
func (l *Leader) startUsage(now time.Duration, term uint64) {
	if l.settings.Usage.Window == 0 {
		return
	}
	l.usage = usage.NewCollector(now, usage.Settings{
		Window: time.Duration(l.settings.Usage.Window), Lease: time.Duration(l.settings.Member.Lease), Term: term,
	})
}

// withUsage calls f with the collector of the term and the committed record, while this
// member leads.
func (l *Leader) withUsage(f func(now time.Duration, c *usage.Collector, s *state.State, r *usage.Record)) {
	l.store.ReadUsage(func(s *state.State, r *usage.Record) {
		_ = l.withLease(func(now time.Duration, _ uint64) { f(now, l.usage, s, r) })
	})
}

// receiveUsage takes the usage in a heartbeat.
func (l *Leader) receiveUsage(q *proto.HeartbeatRequest, reply *proto.HeartbeatReply) {
	if l.settings.Usage.Window == 0 {
		return
	}
	late := 0
	l.withUsage(func(now time.Duration, c *usage.Collector, s *state.State, r *usage.Record) {
		late = c.Receive(now, r, s.EntryCount(), q, reply)
	})
	if late > 0 {
		l.meter.Add(int64(late), "usage", "late")
		klog.InfoS("usage for closed windows dropped", "member", q.Member.Name, "counts", late)
	}
}

// runUsage records the usage and closes windows while this member leads.
func (l *Leader) runUsage(ctx context.Context) {
	if l.settings.Usage.Window == 0 {
		return
	}
	runEvery(ctx, usagePeriod, func() {
		for range maxUsageSteps {
			if !l.advanceUsage(ctx) {
				return
			}
		}
	})
}

// advanceUsage proposes the next command of the usage, and reports whether there may be
// another one.
func (l *Leader) advanceUsage(ctx context.Context) bool {
	var step usage.Step
	var began time.Duration
	l.withUsage(func(now time.Duration, c *usage.Collector, s *state.State, r *usage.Record) {
		began = now
		routing := s.Routing()
		step = c.Next(now, r, routing != nil && routing.NeedsKeys, s.Members())
		l.meter.Set(int64(len(r.Unreported())), "usage", "unreported")
	})
	switch {
	case step.Record != nil:
		_, err := propose[any](ctx, l, store.Command{RecordUsage: step.Record})
		l.countUsage("recorded", err)
		if first := step.Record.First; first != 0 {
			klog.InfoS("usage reports begin", "window", first, "err", err)
		}
		return err == nil
	case step.Close != nil:
		return l.closeUsage(ctx, &step, began)
	}
	return false
}

// closeUsage closes a window and logs its sums.
func (l *Leader) closeUsage(ctx context.Context, step *usage.Step, began time.Duration) bool {
	closed, err := propose[usage.Closed](ctx, l, store.Command{CloseUsage: step.Close})
	l.countUsage("closed", err)
	if err != nil {
		klog.Warningf("usage window %d not closed: %v", step.Close.Window, err)
		return false
	}
	if len(step.Silent) > 0 {
		l.meter.Count("usage", "closed_without")
	}
	if closed.Abandoned != 0 {
		l.meter.Count("usage", "abandoned")
		klog.Warningf("usage window %d was never accepted and is kept no longer", closed.Abandoned)
	}
	klog.InfoS("usage window closed", "window", step.Close.Window, "requests", closed.Window.Requests(), "accounts", len(closed.Window.Counts),
		"silent", step.Silent, "here", closed.Done, "ms", (l.clock.Elapsed() - began).Milliseconds(), "counts", usageText(&closed.Window))
	return true
}

// usageText returns the counts of a window as "account=requests", separated by spaces.
func usageText(w *usage.Window) string {
	var b strings.Builder
	for i, c := range w.Counts {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d", c.Account, c.Requests)
	}
	return b.String()
}

func (l *Leader) countUsage(what string, err error) {
	if err != nil {
		what = "not_" + what
	}
	l.meter.Count("usage", what)
}

// runUsageReports sends the reports of closed windows while this member makes the duty
// calls.
func (l *Leader) runUsageReports(ctx context.Context) {
	if l.settings.Usage.Window == 0 || l.duties == nil {
		return
	}
	runEvery(ctx, usagePeriod, func() {
		for range maxUsageSteps {
			if !l.reportUsage(ctx) {
				return
			}
		}
	})
}

// reportUsage commits an acceptance or sends the next report, and reports whether there
// may be more to do.
func (l *Leader) reportUsage(ctx context.Context) bool {
	var acceptance usage.Acceptance
	var window usage.Window
	var commit, send bool
	var collector *usage.Collector
	fence, writer, ok := l.dutyFence(l.clock.Elapsed())
	l.withUsage(func(now time.Duration, c *usage.Collector, _ *state.State, r *usage.Record) {
		collector = c
		if acceptance, commit = c.NextAcceptance(r); !commit && ok {
			window, send = c.NextReport(now, r, fence)
		}
	})
	if commit {
		_, err := propose[any](ctx, l, store.Command{UsageReported: &acceptance})
		l.countUsage("committed", err)
		return err == nil
	}
	if !send {
		return false
	}
	report := duty.Usage{Window: window.Number, Counts: make(map[string]uint64, len(window.Counts))}
	for _, c := range window.Counts {
		report.Counts[c.Account] = c.Requests
	}
	var result duty.Result
	began, err := l.clock.Elapsed(), l.dutyLimiter.Wait(ctx)
	if err == nil {
		result, err = l.duties.ReportUsage(ctx, writer, fence, report)
	}
	answer, text := usageAnswer(result, err)
	now := l.clock.Elapsed()
	l.mutex.Lock()
	collector.ReportEnded(now, window.Number, answer)
	age := collector.SinceEnd(now, window.Number)
	l.mutex.Unlock()
	l.meter.Count("usage", "report", text)
	if answer == usage.Accepted && age > time.Duration(l.settings.Usage.Late) {
		l.meter.Count("usage", "report_late")
	}
	klog.InfoS("usage reported", "window", window.Number, "requests", window.Requests(), "fence", fence, "answer", text,
		"since_end_ms", age.Milliseconds(), "ms", (now - began).Milliseconds(), "err", err)
	return answer == usage.Accepted
}

// usageAnswer returns the answer to a report, and its name in logs and metrics.
func usageAnswer(result duty.Result, err error) (answer usage.Answer, text string) {
	switch {
	case err != nil:
		return usage.Failed, "unanswered"
	case result == duty.Accepted:
		return usage.Accepted, "accepted"
	case result == duty.Refused || result == duty.Fenced: // a higher token is the only reason
		return usage.Refused, "refused"
	}
	return usage.Failed, "retry"
}
