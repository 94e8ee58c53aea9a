package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/intake"
	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/logger"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/plan"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/guide"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/keepd/serve"
	"verbenahaven.example/platform"
)

const (
	platformHeartbeat = 100 * time.Millisecond
	// platformElection is the time without a heartbeat from the leader after
	// which another member stands for election: several round trips plus syncs
	// of a slow disk.
	platformElection = 600 * time.Millisecond
	// platformReplaceAfter is how long a voter may be silent before it is
	// replaced: its successor must vote before the platform assumes that the
	// successor has caught up.
	platformReplaceAfter     = 2500 * time.Millisecond
	platformSnapshotCommands = 2000 // commands between snapshots
	// megabyte is the unit of the platform's limits.
	megabyte = 1_000_000
	// platformMemberLease is how long an entry instance may be silent before it
	// counts as lost.
	platformMemberLease = 1500 * time.Millisecond
	// platformOrderLease is how long an order may be in transit beyond the
	// leader's lease; platformOrderMargin of it must remain when it is sent.
	platformOrderLease      = time.Second
	platformOrderMargin     = 200 * time.Millisecond
	platformMaxNetworkDelay = time.Second // of bytes in the network
	// platformDrainTimeout is how long an order waits for running requests. It is
	// short because the engine finishes them itself.
	platformDrainTimeout = 400 * time.Millisecond
	// platformReportLag bounds the lag of engines' reports, which is some
	// hundred milliseconds.
	platformReportLag = 800 * time.Millisecond
	// platformListInterval and platformReportInterval are the times between two
	// reads of the list, and of an engine's report.
	platformListInterval   = 500 * time.Millisecond
	platformReportInterval = 200 * time.Millisecond
	// platformPlanHorizon is the window of demand that decides on roles. It is
	// long enough to cover recurring shifts in demand, which are then met
	// without role changes.
	platformPlanHorizon = 25 * time.Second
	// platformChangeCost is the cost of a role change: the seconds that the
	// engine is unavailable, its cold cache, and the cost of the order.
	platformChangeCost = 8 // engine seconds
	// platformPlanPeriod is the time between decisions, and platformMinDwell
	// the least time between two changes of an engine: a few times the duration
	// of a change.
	platformPlanPeriod  = 250 * time.Millisecond
	platformMinDwell    = 6 * time.Second
	platformMaxChanging = 3 // engines that may change at once
	// platformUsageWindow and platformUsageLate apply if the platform names no
	// windows of its own. Entry instances have the same window.
	platformUsageWindow = 5 * time.Second
	platformUsageLate   = 10 * time.Second
	// operatorCallTimeout bounds an operator's call; operators wait for one
	// second.
	operatorCallTimeout = 900 * time.Millisecond
)

// platformApp is a keeper on a platform. Without a disk it isn't a member of the log; it
// forwards operators' calls and directs other instances to the members.
type platformApp struct {
	settings  *platform.Settings
	metrics   string
	lead      *lead.Leader
	node      *node.Node
	links     *links
	client    *keeper.Client
	keys      tlsConfig
	meter     *meter.Registry
	log       *slog.Logger
	bound     *exit.Bound
	intake    *intake.Intake
	documents *body.Budget // memory for tables that operators publish
}

// metricsSetting is the address for metrics as "PORT/PATH", or empty for none.
type metricsSetting string

// openLog makes the log of the process, also that of its libraries. No goroutine may log
// meanwhile, since klog doesn't lock its logger.
func openLog(m *meter.Registry) (*slog.Logger, func()) {
	l, cleanup := logger.New(os.Stdout, m)
	klog.SetSlogLogger(l)
	slog.SetDefault(l) // for libraries that log through the standard library
	return l, cleanup
}

func newUnauthenticatedKeys(s *platform.Settings, l *slog.Logger) (tlsConfig, error) {
	l.Info("links have no key files: the network between the instances must be isolated", "name", s.KeeperLink())
	c, err := keys.UnauthenticatedConfig(s.KeeperLink())
	if err != nil {
		return nil, fmt.Errorf("create TLS keys: %w", err)
	}
	return c, nil
}

// platformConf translates the platform's settings into those of keepd.
func platformConf(s *platform.Settings) *conf.Settings {
	c := conf.Default()
	c.Name, c.Centre, c.Folder = s.KeeperLink(), s.Zone, s.DataDir
	c.Listen = conf.Listen{HTTP: s.Listen.Operators, Link: s.KeeperLink()}
	c.Peers = map[string]string{c.Name: c.Name}
	for _, link := range s.KeeperLinks() {
		c.Peers[link] = link
	}
	c.Group = conf.Group{
		Voters: s.KeeperLinks(), Heartbeat: boot.Duration(platformHeartbeat), Election: boot.Duration(platformElection),
		ReplaceAfter: boot.Duration(platformReplaceAfter), SnapshotCommands: platformSnapshotCommands,
		DiskBytes: int64(s.DiskMB) * megabyte, MemoryBytes: int64(s.MemoryMB) * megabyte,
	}
	c.Order = conf.Order{
		Lease: boot.Duration(platformOrderLease), Margin: boot.Duration(platformOrderMargin), MaxNetworkDelay: boot.Duration(platformMaxNetworkDelay),
		DrainTimeout: boot.Duration(platformDrainTimeout), StartDelay: boot.Duration(s.Bounds.OrderLease), ReportLag: boot.Duration(platformReportLag),
	}
	c.Plan = conf.Plan{
		Policy: plan.NameFollow, ChangeCost: platformChangeCost, MinDwell: boot.Duration(platformMinDwell), Horizon: boot.Duration(platformPlanHorizon), Period: boot.Duration(platformPlanPeriod),
		MaxChanging: platformMaxChanging, Reserve: 1,
	}
	c.Member = conf.Member{Lease: boot.Duration(platformMemberLease)}
	if s.Duties.Usage {
		c.Usage = conf.Usage{
			Window: boot.Duration(cmp.Or(s.Bounds.UsageWindow, platformUsageWindow)), Late: boot.Duration(cmp.Or(s.Bounds.UsageLate, platformUsageLate)),
		}
	}
	c.Duties = conf.Duties{Autoscale: s.Duties.Autoscale, MaxRate: s.Duties.MaxRate, ListLag: s.List.Lag}
	return c
}

func newPlatformNode(
	s *platform.Settings, c *conf.Settings, st *store.Store, server *link.Server, t tlsConfig, k clock.Clock, m *meter.Registry,
) (*node.Node, func(), error) {
	n, cleanup, err := node.New(node.Settings{
		Name: c.Name, Folder: c.Folder, Peers: c.Peers, InitialVoters: c.Group.Voters, OpenMembership: true, JoinOnly: !s.Bootstrap, FirstStart: s.Bootstrap,
		TargetVoters:      2*s.MaxFailures + 1,
		HeartbeatInterval: platformHeartbeat, ElectionTimeout: platformElection, ReplaceAfter: platformReplaceAfter, CommandsPerSnapshot: c.Group.SnapshotCommands,
		DiskBytes: c.Group.DiskBytes, MemoryBytes: c.Group.MemoryBytes,
		Level: store.Level,
	}, st, server, t, k, m)
	if err != nil {
		return nil, nil, folderError(fmt.Errorf("start member: %w", err))
	}
	return n, cleanup, nil
}

func newKeeperClient(s *platform.Settings, t tlsConfig) (*keeper.Client, func()) {
	return keeper.OpenDynamic(s.KeeperLinks(), t)
}

func newPlatformClient(s *platform.Settings, p *httpc.Pool) *platform.Client {
	return platform.NewClient(s, s.KeeperLink(), p)
}

func newConnPool(m *meter.Registry) (*httpc.Pool, func()) {
	return httpc.New(m)
}

func newPlatformApp(
	s *platform.Settings, metrics metricsSetting, l *lead.Leader, n *node.Node, k *links, c *keeper.Client, e *platform.Client,
	t tlsConfig, m *meter.Registry, log *slog.Logger,
) *platformApp {
	l.UseDiscovery(e, lead.PollIntervals{List: platformListInterval, Report: platformReportInterval})
	l.UseDuties(e)
	c.SetLeaderSource(func() string { return n.Status().Leader })
	return &platformApp{
		settings: s, metrics: string(metrics), lead: l, node: n, links: k, client: c, keys: t, meter: m, log: log,
		intake: newIntake(s.MemoryBytes(), s.Descriptors, m), documents: newDocuments(s.MemoryBytes()),
	}
}

// routingTables publishes and reads routing tables through the leader.
type routingTables struct {
	lead   *lead.Leader // nil without a disk
	client *keeper.Client
	log    *slog.Logger
}

// Publish implements platform.Tables.
func (t *routingTables) Publish(ctx context.Context, r state.RoutingTable) error {
	if err := r.Validate(); err != nil {
		t.log.Warn("routing table refused", "number", r.Number, "err", err)
		return fmt.Errorf("%w: %w", platform.ErrInvalidTable, err)
	}
	if t.lead != nil {
		if n, published := t.lead.Published(r.Number); published {
			t.log.Info("routing table", "number", r.Number, "force", n, "known", true)
			return nil
		}
	}
	reply, err := t.client.Publish(ctx, proto.PublishRequest{Routing: r})
	var refusal *link.RemoteError
	if errors.As(err, &refusal) && refusal.Code == link.CodeTooLarge {
		err = fmt.Errorf("%w: %w", platform.ErrTableTooLarge, err)
	}
	t.log.Info("routing table", "number", r.Number, "force", reply.Number, "routes", len(r.Routes), "err", err)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return nil
}

// Latest implements platform.Tables.
func (t *routingTables) Latest(ctx context.Context) ([]byte, error) {
	reply, err := t.client.Routing(ctx, proto.RoutingRequest{})
	if err != nil {
		t.log.Warn("routing table not read", "err", err)
		return nil, fmt.Errorf("read: %w", err)
	}
	return reply.Source, nil
}

// run serves until ctx ends, or the member of the log or the server for
// operators fails. It cancels ctx when it begins to stop.
func (s *platformApp) run(ctx context.Context, cancel context.CancelFunc) error {
	defer cancel()
	if s.node != nil {
		serve.Register(s.links.server, s.lead)
	} else {
		guide.Redirect(s.links.server, s.client, s.meter)
	}
	guide.Listen(s.links.server, s.client)
	_, closeLinks, err := s.links.server.Listen(s.settings.KeeperLink(), s.keys)
	if err != nil {
		return boot.WithExitCode(boot.ExitAddress, fmt.Errorf("serve links: %w", err))
	}
	s.links.close = closeLinks
	operators := newOperatorServer(platform.OperatorHandler(&routingTables{s.lead, s.client, s.log}, operatorCallTimeout, s.documents), s.intake)
	l, err := boot.Listen(ctx, "platform", s.settings.Listen.Operators)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		if err := operators.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("server for operators failed", "err", err)
			cancel()
		}
	})
	if s.metrics != "" {
		if err := s.serveMetrics(ctx, &group); err != nil {
			return err
		}
	}
	group.Go(func() { s.followKeepers(ctx) })
	s.log.Info("started", "name", s.settings.KeeperLink(), "machine", s.settings.Name, "zone", s.settings.Zone, "seeds", s.settings.Seeds,
		"founding", s.settings.Bootstrap, "disk", s.node != nil)
	if s.node != nil {
		group.Go(func() {
			s.lead.Serve(ctx)
			s.node.HandOver() // not after the operators' calls: one may hang
		})
		select {
		case <-ctx.Done():
		case <-s.node.Done():
			cancel()
		}
	}
	<-ctx.Done()
	s.log.Info("stopping", "name", s.settings.KeeperLink())
	shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), operatorStopTimeout(s.bound))
	defer cancelShutdown()
	if err := operators.Stop(shutdownCtx); err != nil {
		s.log.Warn("operators' calls cut short by the shutdown", "err", err)
	}
	group.Wait()
	if s.node != nil {
		if err := s.node.Err(); err != nil {
			return fmt.Errorf("member failed: %w", err)
		}
	}
	return nil
}

// serveMetrics serves metrics until ctx ends. The address is free when the group is done.
func (s *platformApp) serveMetrics(ctx context.Context, group *sync.WaitGroup) error {
	address, path, err := s.settings.MetricsAddress(s.metrics)
	if err != nil {
		return boot.WithExitCode(boot.ExitUsage, err)
	}
	l, err := boot.Listen(ctx, "platform", address)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(path, s.meter)
	server := s.intake.Guard(newHTTPServer(mux))
	group.Go(func() { _ = server.Serve(l) })
	group.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return nil
}

// followKeepers keeps the client's list of keepers up to date. They are those
// of the settings, which may change, and the members of the log.
func (s *platformApp) followKeepers(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	if s.node != nil {
		group.Go(func() { guide.RunMember(ctx, s.client, s.node) })
	} else {
		group.Go(func() { guide.RunOutsider(ctx, s.client) })
	}
	platform.WatchSettings(ctx, func(next *platform.Settings, err error) {
		if err != nil {
			s.log.Warn("settings not taken", "err", err)
			return
		}
		s.bound.SetGrace(next.Bounds.Grace)
		s.client.SetSeeds(next.KeeperLinks())
		if s.node != nil {
			s.node.SetSeeds(next.KeeperLinks())
		}
		s.log.Info("settings reloaded", "seeds", next.Seeds)
	})
}

// newForwardingApp returns a keeper without a disk, which forwards operators' calls and directs
// other instances to the members of the log.
func newForwardingApp(
	s *platform.Settings, metrics metricsSetting, k *links, c *keeper.Client, t tlsConfig, m *meter.Registry, log *slog.Logger,
) *platformApp {
	return &platformApp{
		settings: s, metrics: string(metrics), links: k, client: c, keys: t, meter: m, log: log,
		intake: newIntake(s.MemoryBytes(), s.Descriptors, m), documents: newDocuments(s.MemoryBytes()),
	}
}
