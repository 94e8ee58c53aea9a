// Package listed reads the platform's list of instances. What the list calls
// leaving gets no new work here, also while the state can't be reached. The
// list lags: it never makes a backend server usable that the state or own
// probes say isn't.
package listed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/list"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/entryd/guide"
)

const (
	period  = time.Second
	timeout = time.Second
)

// Listed follows the list.
type Listed struct {
	url    string
	guide  *guide.Guide
	meter  *meter.Registry
	client *http.Client
	up     bool
}

// New returns a follower of the list at url; without a url it does nothing.
func New(url string, g *guide.Guide, m *meter.Registry) *Listed {
	return &Listed{url: url, guide: g, meter: m, client: &http.Client{Timeout: timeout}}
}

// Run reads the list until ctx ends. While it can't be read, the last one
// counts.
func (l *Listed) Run(ctx context.Context) {
	if l.url == "" {
		return
	}
	defer l.client.CloseIdleConnections()
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		leaving, err := l.read(ctx)
		if err == nil {
			l.guide.Listed(leaving)
		} else {
			l.meter.Count("list", "failed")
		}
		if up := err == nil; up != l.up && ctx.Err() == nil {
			l.up = up
			klog.InfoS("platform list", "up", up, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (l *Listed) read(ctx context.Context) (map[string]bool, error) {
	instances, err := list.Fetch(ctx, l.client, l.url)
	if err != nil {
		return nil, fmt.Errorf("follow list: %w", err)
	}
	leaving := make(map[string]bool)
	for _, i := range instances {
		if i.Leaving {
			leaving[i.Name] = true
		}
	}
	return leaving, nil
}
