// Package poll fetches load reports and KV cache events from the engines, with
// one goroutine for each engine that this instance uses. The polls also serve as
// health checks.
package poll

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/picker"
)

const (
	engineListPeriod  = time.Second // between updates of the set of polled engines
	failuresUntilLost = 2           // consecutive failed polls after which an engine counts as lost
	// maxReportBytes limits a load report, and maxCacheBytes a page of cache events.
	maxReportBytes = 64 << 10
	maxCacheBytes  = 1 << 20
	// reportCopies and cacheCopies are how many times its text a decoded report, and a page of
	// short events, takes.
	reportCopies = 2
	cacheCopies  = 16
)

var (
	errStatus = errors.New("the engine answered with a failure")
	errReport = errors.New("the load report holds impossible values")
)

// Settings configures the polls.
type Settings struct {
	Period       time.Duration
	MaxPerSecond int // maximum polls per second over all engines
	Timeout      time.Duration
	Policy       route.Policy
	Answers      *body.Budget // memory of answers
}

// Poll polls the engines.
type Poll struct {
	settings      Settings
	balancer      *picker.Balancer
	pool          *pool.Pool
	meter         *meter.Registry
	clock         clock.Clock
	group         sync.WaitGroup
	polledEngines atomic.Int64 // number of engines that are polled
}

// New returns a poller that isn't running yet.
func New(s Settings, b *picker.Balancer, p *pool.Pool, m *meter.Registry, c clock.Clock) *Poll {
	s.Answers = cmp.Or(s.Answers, body.NewBudget(body.DefaultSize))
	return &Poll{settings: s, balancer: b, pool: p, meter: m, clock: c}
}

// Run polls the engines until ctx ends.
func (p *Poll) Run(ctx context.Context) {
	type key struct{ name, url string }
	running := make(map[key]context.CancelFunc)
	defer p.group.Wait()
	t := time.NewTicker(engineListPeriod)
	defer t.Stop()
	for {
		used := make(map[key]bool)
		for _, e := range p.balancer.UsedEngines() {
			k := key{e.Name, e.URL}
			used[k] = true
			p.polledEngines.Store(int64(len(used)))
			if running[k] != nil {
				continue
			}
			engineCtx, cancel := context.WithCancel(ctx)
			running[k] = cancel
			p.group.Add(1)
			go p.pollEngine(engineCtx, e)
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

func (p *Poll) pollEngine(ctx context.Context, e state.Engine) {
	defer p.group.Done()
	t := time.NewTimer(0)
	defer t.Stop()
	failed, since := 0, uint64(0)
	for {
		t.Reset(Interval(p.settings.Period, p.settings.MaxPerSecond, int(p.polledEngines.Load())))
		if err := p.fetchLoad(ctx, e); err != nil {
			failed++
			p.meter.Count("poll", "failed")
			p.pool.Discard(hostOf(e.URL))
		} else {
			failed = 0
		}
		if ctx.Err() != nil {
			return
		}
		if failed == 0 || failed >= failuresUntilLost {
			p.recordProbe(e, failed == 0)
		}
		if failed == 0 && p.settings.Policy == route.PolicyCache {
			since = p.fetchCacheEvents(ctx, e, since)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Interval returns the time between two polls of one engine, so that all used
// engines together are polled at most rate times per second.
func Interval(period time.Duration, rate, used int) time.Duration {
	return max(period, time.Second*time.Duration(used)/time.Duration(rate))
}

func (p *Poll) recordProbe(e state.Engine, alive bool) {
	if p.balancer.RecordProbe(p.clock.Now(), e.Name, alive) {
		klog.InfoS("engine", "name", e.Name, "alive", alive)
	}
}

func (p *Poll) fetchLoad(ctx context.Context, e state.Engine) error {
	l, err := getJSON[engine.LoadReport](ctx, p, e.URL+engine.PathLoad, maxReportBytes, reportCopies)
	if err != nil {
		return err
	}
	if !l.IsValid() {
		p.meter.Count("poll", "invalid")
		return errReport
	}
	// The time of a clock that is ahead would make the next reports look older.
	if now := p.clock.Now(); l.MeasuredAt.After(now) {
		l.MeasuredAt = now
	}
	p.balancer.RecordLoad(e.Name, l)
	return nil
}

func (p *Poll) fetchCacheEvents(ctx context.Context, e state.Engine, since uint64) uint64 {
	page, err := getJSON[engine.CacheEvents](ctx, p, e.URL+engine.PathCache+"?since="+strconv.FormatUint(since, 10), maxCacheBytes, cacheCopies)
	if err != nil {
		p.meter.Count("poll", "cache_failed")
		return since
	}
	next := p.balancer.ApplyCacheEvents(e.Name, page)
	if next == 0 && since != 0 {
		p.meter.Count("cache", "gap")
	}
	return next
}

func getJSON[T any](ctx context.Context, p *Poll, target string, limit, copies int64) (T, error) {
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
	if a.StatusCode != http.StatusOK {
		return v, fmt.Errorf("get %s: status %d: %w", target, a.StatusCode, errStatus)
	}
	memory := p.settings.Answers.Hold(0)
	defer memory.Release()
	b, err := memory.Read(a.Body, limit, a.ContentLength, copies)
	if err != nil {
		return v, fmt.Errorf("get %s: %w", target, err)
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("decode report: %w", err)
	}
	return v, nil
}

func hostOf(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return raw
	}
	return u.Host
}
