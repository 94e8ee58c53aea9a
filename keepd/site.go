package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/kept"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/audit"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/plan"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/keepd/serve"
	"verbenahaven.example/platform"
)

const (
	siteHeartbeat = 100 * time.Millisecond
	// siteElection is the silence after which another leads: several round
	// trips and syncs of a slow disk.
	siteElection = 600 * time.Millisecond
	// siteReplace is the silence after which a voter is replaced: a successor
	// must vote within the time in which the platform takes it for caught up.
	siteReplace  = 2500 * time.Millisecond
	siteSnapshot = 2000 // commands
	// siteMember is the silence after which an entry instance counts as lost.
	siteMember = 1500 * time.Millisecond
	// siteOrder is how long an order may be on its way on top of the leader's
	// certainty; siteMargin of it must remain when it is sent.
	siteOrder  = time.Second
	siteMargin = 200 * time.Millisecond
	siteFlight = time.Second
	// siteDrain is how long an order waits for requests that run: the engine
	// finishes them itself.
	siteDrain = 400 * time.Millisecond
	// siteLag is by how much engines' reports lag: some hundred milliseconds.
	siteLag = 800 * time.Millisecond
	// siteList and siteReport are the times between two readings.
	siteList   = 500 * time.Millisecond
	siteReport = 200 * time.Millisecond
	// siteHorizon is the time whose needs decide on roles: long enough to hold
	// the shifts that come back, which are then met without changes.
	siteHorizon = 25 * time.Second
	// sitePrice is what a change costs: the seconds that the engine is away, its
	// cold cache, and the price of its order.
	sitePrice = 8 // engine seconds
	// sitePeriod is the time between decisions, and siteDwell the least time
	// between two changes of an engine: a few times what a change takes.
	sitePeriod = 250 * time.Millisecond
	siteDwell  = 6 * time.Second
	siteMoving = 3 // engines in transition at once
	// callLimit bounds the answer to an operator, who waits a second.
	callLimit = 900 * time.Millisecond
	// learnEvery is the time between looks at who keeps the state.
	learnEvery = time.Second
)

// site is a keeper on a platform. Without a disk it only passes operators'
// calls on.
type site struct {
	settings *platform.Settings
	metrics  string
	lead     *lead.Lead
	member   *node.Node
	links    *links
	client   *keeper.Client
	keys     tlsConfig
	meter    *meter.Registry
	log      *slog.Logger
}

// metricsSetting is "PORT/PATH", or empty for none.
type metricsSetting string

func siteLog(m *meter.Registry) (*slog.Logger, func()) {
	l, cleanup := audit.New(os.Stdout, m)
	klog.SetSlogLogger(l)
	slog.SetDefault(l) // for libraries that use the standard log
	return l, cleanup
}

func siteKeys(s *platform.Settings, l *slog.Logger) (tlsConfig, error) {
	l.Info("links have no key files: the network between the instances must be isolated", "name", s.KeeperLink())
	c, err := keys.Isolated(s.KeeperLink())
	if err != nil {
		return nil, fmt.Errorf("make keys: %w", err)
	}
	return c, nil
}

// siteConf translates the platform's settings.
func siteConf(s *platform.Settings) *conf.Settings {
	c := conf.Default()
	c.Name, c.Centre, c.Folder = s.KeeperLink(), s.Zone, s.Folder
	c.Listen = conf.Listen{HTTP: s.Listen.Operators, Link: s.KeeperLink()}
	c.Peers = map[string]string{c.Name: c.Name}
	for _, link := range s.KeeperLinks() {
		c.Peers[link] = link
	}
	c.Group = conf.Group{
		Voters: s.KeeperLinks(), Heartbeat: boot.Duration(siteHeartbeat), Election: boot.Duration(siteElection),
		Replace: boot.Duration(siteReplace), Snapshot: siteSnapshot,
	}
	c.Order = conf.Order{
		Lease: boot.Duration(siteOrder), Margin: boot.Duration(siteMargin), Flight: boot.Duration(siteFlight),
		Drain: boot.Duration(siteDrain), Settle: boot.Duration(s.Bounds.Lease), Report: boot.Duration(siteLag),
	}
	c.Plan = conf.Plan{
		Policy: plan.NameFollow, Price: sitePrice, Dwell: boot.Duration(siteDwell), Horizon: boot.Duration(siteHorizon), Period: boot.Duration(sitePeriod),
		Moving: siteMoving, Reserve: 1,
	}
	c.Member = conf.Member{Lease: boot.Duration(siteMember)}
	return c
}

func siteNode(
	s *platform.Settings, c *conf.Settings, st *store.Store, server *link.Server, t tlsConfig, k clock.Clock, m *meter.Registry,
) (*node.Node, func(), error) {
	n, cleanup, err := node.New(node.Settings{
		Name: c.Name, Folder: c.Folder, Peers: c.Peers, Voters: c.Group.Voters, Open: true, Join: !s.Founding,
		Wanted:    2*s.Losses + 1,
		Heartbeat: siteHeartbeat, Election: siteElection, Replace: siteReplace, Snapshot: c.Group.Snapshot,
	}, st, server, t, k, m)
	if err != nil {
		return nil, nil, folderError(fmt.Errorf("start member: %w", err))
	}
	return n, cleanup, nil
}

func siteClient(s *platform.Settings, t tlsConfig) (*keeper.Client, func()) {
	return keeper.Open(s.KeeperLinks(), t)
}

func siteEngines(s *platform.Settings, p *kept.Pool) *platform.Client {
	return platform.NewClient(s, s.KeeperLink(), p)
}

func sitePool(m *meter.Registry) (*kept.Pool, func()) {
	return kept.New(m)
}

func newSite(
	s *platform.Settings, metrics metricsSetting, l *lead.Lead, n *node.Node, k *links, c *keeper.Client, e *platform.Client,
	t tlsConfig, m *meter.Registry, log *slog.Logger,
) *site {
	l.Follow(e, lead.Paces{List: siteList, Report: siteReport})
	return &site{settings: s, metrics: string(metrics), lead: l, member: n, links: k, client: c, keys: t, meter: m, log: log}
}

// tables publishes and reads routing tables through the leader.
type tables struct {
	client *keeper.Client
	log    *slog.Logger
}

// Publish implements platform.Tables.
func (t *tables) Publish(ctx context.Context, r state.Routing) error {
	if err := r.Check(); err != nil {
		t.log.Warn("routing table refused", "number", r.Number, "err", err)
		return fmt.Errorf("%w: %w", platform.ErrRefused, err)
	}
	reply, err := t.client.Post(ctx, proto.PostRequest{Routing: r})
	t.log.Info("routing table", "number", r.Number, "force", reply.Number, "routes", len(r.Routes), "err", err)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return nil
}

// Newest implements platform.Tables.
func (t *tables) Newest(ctx context.Context) ([]byte, error) {
	reply, err := t.client.Table(ctx, proto.TableRequest{})
	if err != nil {
		t.log.Warn("routing table not read", "err", err)
		return nil, fmt.Errorf("read: %w", err)
	}
	return reply.Source, nil
}

// run serves until ctx ends or the member fails.
func (s *site) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.member != nil {
		serve.Register(s.links.server, s.lead)
		_, closeLinks, err := s.links.server.Listen(s.settings.KeeperLink(), s.keys)
		if err != nil {
			return boot.Fail(boot.ExitAddress, fmt.Errorf("serve links: %w", err))
		}
		s.links.close = closeLinks
	}
	operators := &http.Server{
		Handler:           platform.Operators(&tables{s.client, s.log}, callLimit),
		ReadHeaderTimeout: headerTimeout,
	}
	l, err := boot.Listen(ctx, "platform", s.settings.Listen.Operators)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		if err := operators.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("operators not served", "err", err)
			cancel()
		}
	})
	if s.metrics != "" {
		if err := s.serveMetrics(ctx); err != nil {
			return err
		}
	}
	group.Go(func() { s.follow(ctx) })
	s.log.Info("started", "name", s.settings.KeeperLink(), "machine", s.settings.Name, "zone", s.settings.Zone, "seeds", s.settings.Seeds,
		"founding", s.settings.Founding, "disk", s.member != nil)
	if s.member != nil {
		group.Go(func() { s.lead.Serve(ctx) })
		select {
		case <-ctx.Done():
		case <-s.member.Done():
			cancel()
		}
	}
	<-ctx.Done()
	s.log.Info("stopping", "name", s.settings.KeeperLink())
	grace, end := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer end()
	if err := operators.Shutdown(grace); err != nil {
		s.log.Warn("operators' calls cut", "err", err)
	}
	group.Wait()
	if s.member != nil {
		if err := s.member.Err(); err != nil {
			return fmt.Errorf("member failed: %w", err)
		}
	}
	return nil
}

func (s *site) serveMetrics(ctx context.Context) error {
	address, path, err := s.settings.Metrics(s.metrics)
	if err != nil {
		return boot.Fail(boot.ExitUsage, err)
	}
	l, err := boot.Listen(ctx, "platform", address)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(path, s.meter)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }() // it ends with the process
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// follow keeps the client's list of keepers: those of the settings, which may
// change, and the members of the group.
func (s *site) follow(ctx context.Context) {
	if s.member != nil {
		go func() {
			ticker := time.NewTicker(learnEvery)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					status := s.member.Status()
					s.client.Learn(append(status.Voters, status.Learners...))
				}
			}
		}()
	}
	platform.Follow(ctx, func(next *platform.Settings, err error) {
		if err != nil {
			s.log.Warn("settings not taken", "err", err)
			return
		}
		s.client.Learn(next.KeeperLinks())
		s.log.Info("settings reloaded", "seeds", next.Seeds)
	})
}

// newPass makes a keeper without a disk.
func newPass(s *platform.Settings, metrics metricsSetting, c *keeper.Client, m *meter.Registry, log *slog.Logger) *site {
	return &site{settings: s, metrics: string(metrics), client: c, meter: m, log: log}
}
