package lead

import (
	"context"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/duty"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	dutyTickPeriod = 50 * time.Millisecond
	// dutyRateShare is the share of the platform's limit for the calls of one leader.
	// After a change of leader, the calls of both may fall into one second.
	dutyRateShare = 0.3
	// maxDutyBurst is the number of calls that may be made at once.
	maxDutyBurst = 8
)

// DutyClient makes the calls to the platform that one instance makes for all. An error
// means that no answer came: the call may still be executed.
type DutyClient interface {
	ReportUsage(ctx context.Context, w *guard.Writer, fence uint64, u duty.Usage) (duty.Result, error)
	OrderEngines(ctx context.Context, w *guard.Writer, fence uint64, t duty.Target) (duty.Result, error)
}

// UseDuties makes the leader perform the duties that the settings list. It must be
// called before Serve.
func (l *Leader) UseDuties(c DutyClient) {
	l.duties = c
}

// newDutyLimiter returns the limit of calls to the platform for a limit of the platform,
// 0 for none.
func newDutyLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond*dutyRateShare), max(1, min(maxDutyBurst, int(perSecond*dutyRateShare))))
}

// allowDuty reports whether one more call to the platform may be made now.
func (l *Leader) allowDuty() bool {
	return l.dutyLimiter.AllowN(l.clock.Now(), 1)
}

// runDuties takes the duties for each term in which this member leads.
func (l *Leader) runDuties(ctx context.Context) {
	d := l.settings.Duties
	if l.duties == nil || l.settings.Usage.Window == 0 && !d.Autoscale {
		return
	}
	runEvery(ctx, dutyTickPeriod, func() { l.takeDuty(ctx) })
}

// takeDuty lets the log allocate the fencing token of the current term, if it has none
// yet.
func (l *Leader) takeDuty(ctx context.Context) {
	term := l.heldTerm()
	if term == 0 || l.currentDuty().Term >= term {
		return
	}
	d, err := propose[state.Duty](ctx, l, store.Command{TakeDuty: &store.DutyClaim{Holder: l.settings.Name}})
	if err != nil {
		l.meter.Count("duty", "not_taken")
		return
	}
	l.meter.Count("duty", "taken")
	klog.InfoS("duties taken", "term", d.Term, "fence", d.Token, "holder", d.Holder)
}

func (l *Leader) currentDuty() state.Duty {
	var d state.Duty
	l.readState(func(s *state.State, _ *ledger.Ledger) { d = s.Duty() })
	return d
}

// dutyFence returns the fencing token of the current term and the writer for calls to
// the platform. ok is false unless this member leads under a valid lease and the start
// delay of orders has passed since its term began: an earlier leader's calls must not
// follow those of this one, and leaders in quick succession must not take turns. The
// first leader of a group has no predecessor to wait for.
func (l *Leader) dutyFence(now time.Duration) (fence uint64, w *guard.Writer, ok bool) {
	d := l.currentDuty()
	settled := false
	err := l.withLease(func(_ time.Duration, term uint64) {
		waited := d.First || now-l.termStart >= time.Duration(l.settings.Order.StartDelay)
		settled = d.Term == term && d.Holder == l.settings.Name && waited
	})
	if err != nil || !settled {
		return 0, nil, false
	}
	return d.Token, l.guardedWriter(d.Term), true
}
