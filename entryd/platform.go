package main

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/intake"
	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/logger"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/tally"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/broker"
	"verbenahaven.example/entryd/relay"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/watch"
	"verbenahaven.example/platform"
)

const (
	// siteHeartbeatInterval is the time between heartbeats, which carry the loads
	// of the engines: as long as a few prefills.
	siteHeartbeatInterval = 40 * time.Millisecond
	// siteStaleAfter is the age above which the state counts as stale.
	siteStaleAfter = 5 * time.Second
	// siteFanout is the maximum number of children in the distribution tree of the
	// state.
	siteFanout = 4
	// retrySlackShare is the share of the slack of the platform's retry budget that is
	// used. The rest is for what the budget doesn't cover: arrivals later than a quarter
	// of its window, and requests that the platform counts for another pool while the
	// version of the routing table changes.
	retrySlackShare = 0.9
	// addressTTL is how long callers may cache an address answer: short enough to
	// learn within the grace that an instance is leaving.
	addressTTL = 2 * time.Second
	// callerIdleTimeout is how long callers' connections may be idle: more than
	// any idle limit that routing tables are known to set.
	callerIdleTimeout = 2 * time.Minute
	// siteMaxHeaderBytes bounds a request header before the routing table is known.
	siteMaxHeaderBytes = 256 << 10
	siteHeaderTimeout  = 10 * time.Second
	// siteUsageWindow applies if the platform names no windows of usage reports, as in
	// keepd.
	siteUsageWindow = 5 * time.Second
	// usageFlushTimeout bounds the wait at a planned stop until the leader has the last
	// counts: several heartbeats.
	usageFlushTimeout = 500 * time.Millisecond
)

// defaultRevokeAfter is the time without confirmation of the routing table after which
// keys aren't accepted, where the platform asks for such a limit and names none.
const defaultRevokeAfter = 5 * time.Second

// site is an entry instance that runs on a platform.
type site struct {
	settings *platform.Settings
	metrics  string
	fleet    *relay.Fleet
	relay    *relay.Proxy
	watch    *watch.Watch
	beat     *beat.Beat
	screen   *screen.Screen
	meter    *meter.Registry
	log      *slog.Logger
	leaving  *leaving
	link     *link.Server
	keeper   *keeper.Client
	broker   *broker.Conn
	bound    *exit.Bound
	intake   *intake.Intake
}

// leaving holds the shutdown state of the instance and counts its running
// requests.
type leaving struct {
	cutAt atomic.Pointer[time.Time] // when running requests are cut, nil before the shutdown
	calls atomic.Int64
}

// begin begins the shutdown. cutAt needs a reading of the monotonic clock, since the wall
// clock may be set meanwhile.
func (l *leaving) begin(cutAt time.Time) { l.cutAt.Store(&cutAt) }

func (l *leaving) isActive() bool { return l.cutAt.Load() != nil }

// untilCut returns the time until running requests are cut, and reports whether
// the instance is shutting down at all.
func (l *leaving) untilCut() (time.Duration, bool) {
	cutAt := l.cutAt.Load()
	if cutAt == nil {
		return 0, false
	}
	return time.Until(*cutAt), true
}

// metricsSetting is "PORT/PATH", or empty for none.
type metricsSetting string

func siteLog(m *meter.Registry) (*slog.Logger, func()) {
	l, cleanup := logger.New(os.Stdout, m)
	klog.SetSlogLogger(l)
	slog.SetDefault(l) // for libraries that use the standard log
	return l, cleanup
}

func siteKeys(s *platform.Settings, l *slog.Logger) (*tls.Config, error) {
	l.Info("links have no key files: the network between the instances must be isolated", "name", s.Name)
	c, err := keys.UnauthenticatedConfig(s.Name)
	if err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	return c, nil
}

func siteKeeper(s *platform.Settings, c *tls.Config) (*keeper.Client, func()) {
	return keeper.OpenDynamic(s.KeeperLinks(), c)
}

func siteBudget(s *platform.Settings) *retry.SharedBudget {
	return retry.NewSharedBudget(retryBudget(s))
}

func retryBudget(s *platform.Settings) (window time.Duration, ratio, slack float64) {
	b := s.Bounds
	window = b.RetryWindow
	if window <= 0 {
		window = 10 * time.Second
	}
	return window, b.RetryShare, b.RetrySlack * retrySlackShare
}

// revokeAfter returns the time without confirmation of the routing table after which
// keys aren't accepted, 0 for no limit.
func revokeAfter(s *platform.Settings) time.Duration {
	if !s.Bounds.StrictRevoke {
		return 0
	}
	return cmp.Or(s.Bounds.RevokeAfter, defaultRevokeAfter)
}

func siteBroker(ctx context.Context, s *platform.Settings, m *meter.Registry) (*broker.Conn, func(), error) {
	c, cleanup, err := broker.Listen(ctx, s.Name, s.EntryLink(), m)
	if err != nil {
		return nil, nil, fmt.Errorf("start broker: %w", err)
	}
	return c, cleanup, nil
}

func siteFleet(s *platform.Settings, b *retry.SharedBudget, n relay.Broker, m *meter.Registry, c clock.Clock, k *keeper.Client) *relay.Fleet {
	return relay.NewFleet(s.Name, s.Zone, b, n, m, c, k.SetKeepers)
}

func siteRelay(
	s *platform.Settings, p *httpc.Pool, f *relay.Fleet, k *screen.Screen, m *meter.Registry, l *slog.Logger, c clock.Clock, v *leaving, u *tally.Tally,
) (*relay.Proxy, func()) {
	peers, cleanup := httpc.New(peerCounter{m})
	r := relay.New(server.Codec(platform.Codec{}), p, peers, f, k, m, l, c, v.untilCut)
	r.CountUsage(u)
	r.SetMemory(s.MemoryBytes())
	return r, cleanup
}

// siteTally returns the counts of requests by client account, or nil if the platform
// expects no usage reports.
func siteTally(s *platform.Settings, c clock.Clock) *tally.Tally {
	if !s.Duties.Usage {
		return nil
	}
	return tally.New(cmp.Or(s.Bounds.UsageWindow, siteUsageWindow), strconv.FormatInt(c.Now().UnixNano(), 36))
}

// peerCounter counts the connections to other instances apart from those to backend
// servers.
type peerCounter struct{ *meter.Registry }

// Count implements httpc.Counter.
func (c peerCounter) Count(parts ...string) {
	c.Registry.Count(append([]string{"peer"}, parts...)...)
}

func siteWatch(s *platform.Settings) watch.Settings {
	return watch.Settings{Name: s.Name, Fanout: siteFanout, StaleAfter: siteStaleAfter}
}

func siteMember(s *platform.Settings) state.Member {
	return state.Member{
		Name: s.Name, Kind: state.MemberEntry, URL: "http://" + s.Listen.Callers, LinkAddress: s.EntryLink(), Centre: s.Zone, Phase: state.PhaseServing,
	}
}

func siteLink(s *platform.Settings, c *tls.Config, w *watch.Watch, m *meter.Registry) (*link.Server, func(), error) {
	l := link.NewServer(m)
	w.Register(l)
	_, cleanup, err := l.Listen(s.EntryLink(), c)
	if err != nil {
		return nil, nil, fmt.Errorf("serve links: %w", boot.WithExitCode(boot.ExitAddress, err))
	}
	return l, cleanup, nil
}

// run serves until ctx ends, then shuts down gracefully.
func (s *site) run(ctx context.Context) error {
	began := time.Now()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	s.beat.SetInterval(siteHeartbeatInterval)
	group.Go(func() { s.broker.Serve(background, s.fleet) })
	for _, f := range []func(context.Context){s.watch.Run, s.watch.RunPeers, s.beat.Run, s.relay.Run, s.screen.Run, s.reload} {
		group.Go(func() { f(background) })
	}
	calls, cut := context.WithCancelCause(background)
	defer cut(nil)
	callers, peers := s.callServer(calls, s.relay), s.callServer(calls, s.relay.PeerHandler())
	servers := map[string]httpServer{
		s.settings.Listen.Callers: callers,
		s.settings.EntryLink():    peers, // the links themselves use UDP
		s.settings.Listen.Ready:   s.smallServer(platform.ReadyHandler(s.ready)),
	}
	if s.settings.Listen.Addresses != "" {
		servers[s.settings.Listen.Addresses] = s.smallServer(platform.AddressHandler(s.addresses))
	}
	if s.metrics != "" {
		address, path, err := s.settings.MetricsAddress(s.metrics)
		if err != nil {
			return boot.WithExitCode(boot.ExitUsage, err)
		}
		mux := http.NewServeMux()
		mux.Handle(path, s.meter)
		servers[address] = s.smallServer(mux)
	}
	failed := make(chan error, len(servers))
	for address, h := range servers {
		l, err := boot.Listen(ctx, "platform", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go func() { failed <- h.Serve(l) }()
		defer func() { _ = h.Close() }()
	}
	s.log.Info("started", "name", s.settings.Name, "zone", s.settings.Zone, "callers", s.settings.Listen.Callers, "seeds", s.settings.Seeds,
		"founding", s.settings.Bootstrap, "ms", time.Since(began).Milliseconds())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.stop(context.WithoutCancel(ctx), func() { cut(leave.ErrCut) }, callers, peers)
	return nil
}

// countCalls counts the calls in progress.
func (s *site) countCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.leaving.calls.Add(1)
		defer s.leaving.calls.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (s *site) ready() bool {
	return !s.leaving.isActive() && s.fleet.Ready()
}

// addresses returns the instances of the caller's data centre, or all if it has
// fewer than two, and how long the answer may be cached.
func (s *site) addresses(q platform.AddressQuery) ([]string, time.Duration) {
	var near, all []string
	for _, m := range s.fleet.Snapshot().LiveEntries() {
		if m.Phase != state.PhaseServing {
			continue
		}
		address := m.URL[len("http://"):]
		all = append(all, address)
		if m.Centre == q.Zone {
			near = append(near, address)
		}
	}
	ttl := addressTTL
	if limit := s.settings.Bounds.AddressTTL; limit > 0 {
		ttl = min(ttl, limit)
	}
	if len(near) >= 2 {
		return near, ttl
	}
	const maxAddresses = 64 // callers accept no more
	if len(all) > maxAddresses {
		all = all[:maxAddresses]
	}
	return all, ttl
}

// reload applies changes of the settings file.
func (s *site) reload(ctx context.Context) {
	platform.WatchSettings(ctx, func(next *platform.Settings, err error) {
		if err != nil {
			s.log.Warn("settings not taken", "err", err)
			return
		}
		s.bound.SetGrace(next.Bounds.Grace)
		s.keeper.SetSeeds(next.KeeperLinks())
		s.fleet.SetRetryBudget(retryBudget(next))
		s.relay.SetRevocation(revokeAfter(next), s.watch.SinceConfirmed)
		s.log.Info("settings reloaded", "seeds", next.Seeds)
	})
}

// serveSite runs an entry instance on a platform until ctx ends. It sets the grace period
// of the process.
func serveSite(ctx context.Context, metrics string, bound *exit.Bound) error {
	settings, err := platform.Load()
	if err != nil {
		return boot.WithExitCode(boot.ExitSettings, err)
	}
	bound.SetGrace(settings.Bounds.Grace)
	boot.LimitMemory(settings.MemoryBytes())
	s, cleanup, err := buildSite(ctx, settings, metricsSetting(metrics))
	if err != nil {
		return err
	}
	defer cleanup()
	s.bound = bound
	return s.run(ctx)
}

func newSite(
	settings *platform.Settings, metrics metricsSetting, f *relay.Fleet, r *relay.Proxy, w *watch.Watch, b *beat.Beat,
	k *screen.Screen, m *meter.Registry, l *slog.Logger, v *leaving, n *link.Server, c *keeper.Client, o *broker.Conn, u *tally.Tally,
) *site {
	r.SetRevocation(revokeAfter(settings), w.SinceConfirmed)
	b.ReportUsage(u)
	return &site{
		settings: settings, metrics: string(metrics), fleet: f, relay: r, watch: w, beat: b, screen: k, meter: m, log: l,
		leaving: v, link: n, keeper: c, broker: o, intake: siteIntake(settings, m),
	}
}

// siteIntake returns the bounds on what all servers of the instance hold for callers.
func siteIntake(s *platform.Settings, m *meter.Registry) *intake.Intake {
	memory := cmp.Or(s.MemoryBytes(), boot.MachineMemory())
	return intake.New(intake.NewLimits(memory, cmp.Or(s.Descriptors, boot.Descriptors())), m)
}

func siteHolder() beat.Holder {
	return beat.Holder("") // run-once calls of the platform need no ledger
}

func newLeaving() *leaving { return &leaving{} }

func sitePool(m *meter.Registry) (*httpc.Pool, func()) {
	return httpc.New(m)
}
