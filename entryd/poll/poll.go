// Package poll reads load reports and cache events of the engines, one
// goroutine for each engine that this instance uses.
package poll

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/guide"
)

const (
	refresh  = time.Second // between looks at the list of engines
	failures = 2           // polls in a row after which an engine counts as dead
)

// Settings shape the polls.
type Settings struct {
	Period  time.Duration
	Rate    int // reports a second, from all engines together
	Timeout time.Duration
	Policy  route.Policy
}

// Poll reads reports.
type Poll struct {
	settings Settings
	guide    *guide.Guide
	pool     *pool.Pool
	meter    *meter.Registry
	clock    clock.Clock
	group    sync.WaitGroup
	used     atomic.Int64 // engines that are polled
}

// New returns polls that don't run yet.
func New(s Settings, g *guide.Guide, p *pool.Pool, m *meter.Registry, c clock.Clock) *Poll {
	return &Poll{settings: s, guide: g, pool: p, meter: m, clock: c}
}

// Run reads reports until ctx ends.
func (p *Poll) Run(ctx context.Context) {
	type key struct{ name, url string }
	running := make(map[key]context.CancelFunc)
	defer p.group.Wait()
	t := time.NewTicker(refresh)
	defer t.Stop()
	for {
		used := make(map[key]bool)
		for _, e := range p.guide.Used() {
			k := key{e.Name, e.URL}
			used[k] = true
			p.used.Store(int64(len(used)))
			if running[k] != nil {
				continue
			}
			one, cancel := context.WithCancel(ctx)
			running[k] = cancel
			p.group.Add(1)
			go p.follow(one, e)
		}
		for k, cancel := range running {
			if !used[k] {
				cancel()
				delete(running, k)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return
		case <-t.C:
		}
	}
}

func (p *Poll) follow(ctx context.Context, e state.Engine) {
	defer p.group.Done()
	t := time.NewTimer(0)
	defer t.Stop()
	failed, since := 0, uint64(0)
	for {
		t.Reset(Pause(p.settings.Period, p.settings.Rate, int(p.used.Load())))
		if err := p.load(ctx, e); err != nil {
			failed++
			p.meter.Count("poll", "failed")
			p.pool.Discard(host(e.URL))
		} else {
			failed = 0
		}
		if ctx.Err() != nil {
			return
		}
		if failed == 0 || failed >= failures {
			p.probe(e, failed == 0)
		}
		if failed == 0 && p.settings.Policy == route.PolicyCache {
			since = p.cache(ctx, e, since)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Pause returns the time between two reports of one engine, so that all used
// engines together are not read more often than rate times a second.
func Pause(period time.Duration, rate, used int) time.Duration {
	return max(period, time.Second*time.Duration(used)/time.Duration(rate))
}

func (p *Poll) probe(e state.Engine, alive bool) {
	if p.guide.Probe(p.clock.Now(), e.Name, alive) {
		klog.InfoS("engine", "name", e.Name, "alive", alive)
	}
}

func (p *Poll) load(ctx context.Context, e state.Engine) error {
	l, err := get[engine.Load](ctx, p, e.URL+engine.PathLoad)
	if err != nil {
		return err
	}
	p.guide.Report(e.Name, l)
	return nil
}

func (p *Poll) cache(ctx context.Context, e state.Engine, since uint64) uint64 {
	page, err := get[engine.CacheEvents](ctx, p, e.URL+engine.PathCache+"?since="+strconv.FormatUint(since, 10))
	if err != nil {
		p.meter.Count("poll", "cache_failed")
		return since
	}
	next := p.guide.Cache(e.Name, page)
	if next == 0 && since != 0 {
		p.meter.Count("cache", "gap")
	}
	return next
}

func get[T any](ctx context.Context, p *Poll, target string) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return v, fmt.Errorf("make request: %w", err)
	}
	a, err := p.pool.Do(r)
	if err != nil {
		return v, err //nolint:wrapcheck // wrapped by the pool
	}
	defer func() { _ = a.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(a.Body, stream.MaxEvent)).Decode(&v); err != nil {
		return v, fmt.Errorf("decode report: %w", err)
	}
	return v, nil
}

func host(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return raw
	}
	return u.Host
}
