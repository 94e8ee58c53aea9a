package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	maxList     = 4 << 20 // bytes
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
		instances, err := fetchList(ctx, url)
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

func fetchList(ctx context.Context, url string) ([]list.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("make request for list: %w", err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read list: status %d", answer.StatusCode)
	}
	var instances []list.Instance
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxList)).Decode(&instances); err != nil {
		return nil, fmt.Errorf("decode list: %w", err)
	}
	return instances, nil
}
