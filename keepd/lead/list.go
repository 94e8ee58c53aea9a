package lead

import (
	"context"
	"net/http"
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
	// listPart is the share of its lease for which a member must have been
	// silent before the list may count against it.
	listPart = 2
)

// runList follows the platform's list of instances. The list lags, so it only
// makes a member count as lost sooner that is silent already. It never ends a
// member that still sends heartbeats, and never brings one back.
func (l *Lead) runList(ctx context.Context) {
	url := l.settings.Platform.List
	if url == "" {
		return
	}
	every(ctx, listPeriod, func() {
		if l.leading() == 0 {
			return
		}
		one, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		instances, err := list.Fetch(one, http.DefaultClient, url)
		if err != nil {
			l.meter.Count("list", "failed")
			return
		}
		l.compare(ctx, instances)
	})
}

func (l *Lead) compare(ctx context.Context, instances []list.Instance) {
	live := make(map[string]bool)
	for _, i := range instances {
		if !i.Leaving {
			live[i.Name] = true
		}
	}
	var members []state.Member
	l.read(func(s *state.State, _ *ledger.Ledger) { members = s.Members() })
	for _, m := range members {
		if live[m.Name] || m.Phase != state.PhaseServing {
			continue
		}
		var silent time.Duration
		_ = l.hold(func(now time.Duration, _ uint64) { silent = l.roster.Silent(now, m.Name) })
		if silent < time.Duration(l.settings.Member.Lease)/listPart {
			l.meter.Count("list", "overruled")
			continue
		}
		klog.Infof("member %s is silent and not on the platform's list", m.Name)
		l.meter.Count("member", "lost")
		if _, err := propose[any](ctx, l, store.Command{Lose: &store.Named{Name: m.Name}}); err != nil {
			return
		}
	}
}
