package lead

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/list"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	listPeriod  = time.Second
	listTimeout = 2 * time.Second
	// silenceDivisor divides the member lease: a member that is missing from
	// the list is lost only after 1/silenceDivisor of its lease without
	// heartbeat.
	silenceDivisor = 2
)

// runInstanceList polls the platform's list of instances. The list lags, so it
// only shortens the lease of a member that is silent already. It never expires
// a member that still sends heartbeats, and never restores one.
func (l *Leader) runInstanceList(ctx context.Context) {
	url := l.settings.Platform.List
	if url == "" {
		return
	}
	client := list.NewClient()
	runEvery(ctx, listPeriod, func() {
		if l.heldTerm() == 0 {
			return
		}
		fetchCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		instances, err := list.Fetch(fetchCtx, client, url)
		if err != nil {
			l.meter.Count("list", "failed")
			return
		}
		l.expireUnlisted(ctx, instances)
	})
}

// expireUnlisted marks serving members as lost that are silent and not on the
// list, or leaving there.
func (l *Leader) expireUnlisted(ctx context.Context, instances []list.Instance) {
	listed := make(map[string]bool) // and not leaving
	for _, i := range instances {
		if !i.Leaving {
			listed[i.Name] = true
		}
	}
	var members []state.Member
	l.readState(func(s *state.State, _ *ledger.Ledger) { members = s.Members() })
	for _, m := range members {
		if listed[m.Name] || m.Phase != state.PhaseServing {
			continue
		}
		var silent time.Duration
		_ = l.withLease(func(now time.Duration, _ uint64) { silent = l.roster.SinceHeartbeat(now, m.Name) })
		if silent < time.Duration(l.settings.Member.Lease)/silenceDivisor {
			l.meter.Count("list", "overruled")
			continue
		}
		klog.Infof("member %s: no heartbeat and not on the platform's list, marked as lost", m.Name)
		l.meter.Count("member", "lost")
		if _, err := propose[any](ctx, l, store.Command{MarkLost: &store.ObjectRef{Name: m.Name}}); err != nil {
			return
		}
	}
}
