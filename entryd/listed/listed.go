// Package listed polls the platform's service discovery list. Backend servers
// that the list marks as leaving get no new work, even while the keepers can't
// be reached. Since the list lags, it never makes a backend server usable that
// the state or this instance's own probes exclude.
package listed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/list"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/entryd/picker"
)

const (
	readPeriod  = time.Second
	readTimeout = time.Second
)

// Listed polls the list.
type Listed struct {
	url       string
	balancer  *picker.Balancer
	meter     *meter.Registry
	client    *http.Client
	reachable bool
}

// New returns a poller of the list at url. Without a url it does nothing.
func New(url string, b *picker.Balancer, m *meter.Registry) *Listed {
	c := list.NewClient()
	c.Timeout = readTimeout
	return &Listed{url: url, balancer: b, meter: m, client: c}
}

// Run polls the list until ctx ends. While it can't be fetched, the last one
// applies.
func (l *Listed) Run(ctx context.Context) {
	if l.url == "" {
		return
	}
	defer l.client.CloseIdleConnections()
	t := time.NewTicker(readPeriod)
	defer t.Stop()
	for {
		leaving, err := l.readLeaving(ctx)
		if err == nil {
			l.balancer.SetListedLeaving(leaving)
		} else {
			l.meter.Count("list", "failed")
		}
		if up := err == nil; up != l.reachable && ctx.Err() == nil {
			l.reachable = up
			klog.InfoS("platform list", "up", up, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (l *Listed) readLeaving(ctx context.Context) (map[string]bool, error) {
	instances, err := list.Fetch(ctx, l.client, l.url)
	if err != nil {
		return nil, fmt.Errorf("fetch platform list: %w", err)
	}
	leaving := make(map[string]bool)
	for _, i := range instances {
		if i.Leaving {
			leaving[i.Name] = true
		}
	}
	return leaving, nil
}
