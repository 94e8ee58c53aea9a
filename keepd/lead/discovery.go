package lead

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	// fleetTimeout bounds one read of the platform's list.
	fleetTimeout = 1500 * time.Millisecond
	// reportTimeout bounds the read of one load report. A report that takes
	// longer than a few polling periods is out of date.
	reportTimeout = 600 * time.Millisecond
	// reportWorkers is the number of reports read concurrently.
	reportWorkers = 16
	// maxReportAge is the age from which a report is too old to determine an
	// engine's role.
	maxReportAge = 2 * time.Second
	// maxReportsPerSecond bounds the rate of report reads over all engines.
	maxReportsPerSecond = 100
)

// Discovery is the service discovery of a platform: it lists the backend
// servers, and reads the load reports that engines give to any client.
type Discovery interface {
	// List returns all backend servers.
	List(ctx context.Context) (state.Fleet, error)
	// Report returns the load of an engine.
	Report(ctx context.Context, e state.Engine) (proto.Report, error)
	// Disconnect makes the next report come over a new connection.
	Disconnect(e state.Engine)
}

// PollIntervals are the times between two reads of the list, and between two
// reads of an engine's report.
type PollIntervals struct {
	List, Report time.Duration
}

// UseDiscovery makes the leader take the backend servers from a platform's list
// and read the engines' reports on behalf of all instances. It must be called
// before Serve.
func (l *Leader) UseDiscovery(f Discovery, p PollIntervals) {
	l.discovery, l.pollIntervals = f, p
}

// runFleetSync copies the platform's list into the state while this member
// leads.
func (l *Leader) runFleetSync(ctx context.Context) {
	if l.discovery == nil {
		return
	}
	unreachable := false
	runEvery(ctx, l.pollIntervals.List, func() {
		if l.heldTerm() == 0 {
			return
		}
		listCtx, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		f, err := l.discovery.List(listCtx)
		if (err != nil) != unreachable {
			unreachable = err != nil
			klog.InfoS("platform's list", "reached", !unreachable, "err", err)
		}
		if err != nil {
			// Keep the last known fleet: an unreadable list isn't an empty one.
			l.meter.Count("list", "failed")
			return
		}
		l.syncListed(ctx, f)
	})
}

// syncListed makes the state equal to a fleet that was just listed.
func (l *Leader) syncListed(ctx context.Context, f state.Fleet) {
	f.DropRepeated()
	l.fleetMutex.Lock()
	defer l.fleetMutex.Unlock()
	l.lastFleet, l.lastFleetTerm = f, l.heldTerm()
	l.syncFleet(ctx, f)
}

// syncLeaving proposes the last listed fleet again if an engine that reports that it is
// leaving still serves in the state: reports say so before the list does.
func (l *Leader) syncLeaving(ctx context.Context, engine string) {
	l.fleetMutex.Lock()
	defer l.fleetMutex.Unlock()
	var e state.Engine
	l.readState(func(s *state.State, _ *ledger.Ledger) { e, _ = s.Engine(engine) })
	if e.Phase != state.PhaseServing || l.lastFleetTerm == 0 || l.lastFleetTerm != l.heldTerm() {
		return
	}
	l.meter.Count("list", "preceded")
	l.syncFleet(ctx, l.lastFleet)
}

// syncFleet proposes the listed fleet if it differs from the state. The list
// lags behind role changes, so a known engine's role comes from a fresh report
// or stays as it is in the state. It also lags behind engines that drain, which their
// reports say first. fleetMutex must be locked, so that a fleet from before a report
// isn't proposed after it.
func (l *Leader) syncFleet(ctx context.Context, f state.Fleet) {
	f.Engines = slices.Clone(f.Engines)
	now := l.clock.Now()
	var table *state.RoutingTable
	var v state.View
	known := make(map[string]state.Engine)
	recentlyOrdered := make(map[string]bool) // engines whose reports may predate their last order
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		v, table = s.View(0), s.Routing()
		for _, e := range v.Engines {
			known[e.Name] = e
			recentlyOrdered[e.Name] = now.Sub(s.LastOrderClosed(e.Name)) < maxReportAge
		}
	})
	f.Servers = withoutRoleless(f.Servers, table)
	_ = l.withLease(func(time.Duration, uint64) {
		for i := range f.Engines {
			e := &f.Engines[i]
			if old, found := known[e.Name]; found {
				e.Role = old.Role
			}
			l.applyReport(now, e, recentlyOrdered[e.Name])
		}
	})
	if !fleetDiffers(f, v) {
		return
	}
	if _, err := propose[any](ctx, l, store.Command{SyncFleet: &f}); err != nil {
		klog.InfoS("fleet not proposed", "err", err)
		return
	}
	l.meter.Count("list", "changed")
	klog.InfoS("fleet", "engines", len(f.Engines), "servers", len(f.Servers))
}

// withoutRoleless returns the servers without those of services of engines: an engine is
// listed with its role.
func withoutRoleless(list []state.Server, r *state.RoutingTable) []state.Server {
	if r == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(s state.Server) bool {
		p, found := r.Pool(s.Service)
		return found && p.Spec != nil
	})
}

// applyReport sets what the latest report of a listed engine says, since it is more recent
// than the list. The report may be older than an order that just ended. The mutex must be
// locked.
func (l *Leader) applyReport(now time.Time, e *state.Engine, recentlyOrdered bool) {
	r, fresh := l.freshReport(now, e.Name)
	if !fresh {
		return
	}
	if !recentlyOrdered {
		e.Role = r.Role
	}
	if r.Leaving {
		e.Phase = state.PhaseLeaving
	}
	e.Reclaimable = e.Reclaimable || r.Reclaimable
}

// freshReport returns the latest report of an engine, and whether the engine answered and
// the report is recent. The mutex must be locked.
func (l *Leader) freshReport(now time.Time, engine string) (r proto.Report, fresh bool) {
	r, heard := l.roster.Report(engine)
	return r, heard && r.Alive && now.Sub(r.At) < maxReportAge
}

// reportsLeaving reports whether the latest report of an engine says that it will stop
// soon. The mutex must be locked.
func (l *Leader) reportsLeaving(engine string) bool {
	r, fresh := l.freshReport(l.clock.Now(), engine)
	return fresh && r.Leaving
}

// fleetDiffers reports whether applying a fleet would change the state. The
// phase and role of engines with an open order are ignored: the order decides
// them.
func fleetDiffers(f state.Fleet, v state.View) bool {
	if len(f.Engines) != len(v.Engines) || len(f.Servers) != len(v.Servers) {
		return true
	}
	engines := make(map[string]state.Engine, len(v.Engines))
	for _, e := range v.Engines {
		engines[e.Name] = e
	}
	servers := make(map[string]state.Server, len(v.Servers))
	for _, s := range v.Servers {
		servers[s.Name] = s
	}
	for _, e := range f.Engines {
		old, found := engines[e.Name]
		if !found {
			return true
		}
		if old.Phase == state.PhaseChanging {
			e.Phase, e.Role = old.Phase, old.Role
		}
		e.Version = old.Version
		if e != old {
			return true
		}
	}
	for _, s := range f.Servers {
		old, found := servers[s.Name]
		if !found {
			return true
		}
		s.Version = old.Version
		if s != old {
			return true
		}
	}
	return false
}

// runReportPolling polls the engines' reports while this member leads.
func (l *Leader) runReportPolling(ctx context.Context) {
	if l.discovery == nil {
		return
	}
	work := make(chan state.Engine, workQueueSize)
	var group sync.WaitGroup
	for range reportWorkers {
		group.Go(func() {
			for e := range work {
				l.pollReport(ctx, e)
			}
		})
	}
	var first string // engine with which the next round begins
	for ctx.Err() == nil {
		engines := l.polledEngines()
		period := max(l.pollIntervals.Report, time.Duration(len(engines))*time.Second/maxReportsPerSecond)
		round, cancel := context.WithTimeout(ctx, period)
		first = l.queueReports(round, work, engines, first)
		<-round.Done()
		cancel()
	}
	close(work)
	group.Wait()
}

// polledEngines returns the engines whose reports this member reads, none unless it leads.
func (l *Leader) polledEngines() []state.Engine {
	if l.heldTerm() == 0 {
		return nil
	}
	var engines []state.Engine
	l.readState(func(s *state.State, _ *ledger.Ledger) { engines = s.View(0).Engines })
	groups := make(map[string]string, len(engines))
	for _, e := range engines {
		groups[e.Name] = e.Pool + "/" + string(e.Role)
	}
	_ = l.withLease(func(time.Duration, uint64) {
		l.roster.SetEngines(groups)
		l.retainHeard(groups)
		l.path.setEngines(engines)
	})
	return engines
}

// queueReports queues engines for the workers until ctx ends. If these can't keep up, the
// rest is skipped in this round: it returns the first of them, with which the next one begins.
func (l *Leader) queueReports(ctx context.Context, work chan<- state.Engine, engines []state.Engine, first string) string {
	begin := max(0, slices.IndexFunc(engines, func(e state.Engine) bool { return e.Name == first }))
	for i := range engines {
		e := engines[(begin+i)%len(engines)]
		select {
		case work <- e:
		case <-ctx.Done():
			l.meter.Add(int64(len(engines)-i), "report", "skipped")
			return e.Name
		}
	}
	return first
}

func (l *Leader) pollReport(ctx context.Context, e state.Engine) {
	began := l.clock.Now()
	p, err := l.readReport(ctx, e)
	if err == nil && l.isOvertaken(e, p) {
		l.meter.Count("report", "overtaken")
		l.discovery.Disconnect(e) // a new connection carries no late copies
		p, err = l.readReport(ctx, e)
	}
	switch {
	case err == nil:
		l.recordReport(e, p)
		if p.Leaving {
			l.syncLeaving(ctx, e.Name)
		}
	case ctx.Err() == nil:
		l.recordFailure(began, e)
	}
}

// readReport reads the report of an engine within reportTimeout.
func (l *Leader) readReport(ctx context.Context, e state.Engine) (p proto.Report, err error) {
	err = l.observe(ctx, server.HostPort(e.URL), func() error {
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		p, err = l.discovery.Report(reportCtx, e)
		return err //nolint:wrapcheck // only counted
	})
	return p, err //nolint:wrapcheck // only counted
}

func (l *Leader) isOvertaken(e state.Engine, p proto.Report) (overtaken bool) {
	p.Engine = e.Name
	_ = l.withLease(func(time.Duration, uint64) { overtaken = l.roster.IsOvertaken(p) })
	return overtaken
}

// recordReport records the report of an engine that answered.
func (l *Leader) recordReport(e state.Engine, p proto.Report) {
	p.Engine, p.At, p.Alive = e.Name, l.clock.Now(), true
	_ = l.withLease(func(time.Duration, uint64) {
		l.heardAt[e.Name] = p.At
		l.putReports(append(l.path.answered(p.At, e.Name), p))
	})
}

// recordFailure records that an engine's report couldn't be read.
func (l *Leader) recordFailure(began time.Time, e state.Engine) {
	l.meter.Count("report", "failed")
	p := proto.Report{Engine: e.Name, Role: e.Role, At: l.clock.Now()}
	_ = l.withLease(func(time.Duration, uint64) { l.putReports(l.path.failed(began, p)) })
}

// putReports stores reports with the speeds that all instances have learned. The
// mutex must be locked.
func (l *Leader) putReports(reports []proto.Report) {
	for _, p := range reports {
		learned := l.roster.Speed(p.Engine)
		p.PrefillRate, p.PrefillDelay, p.StartTime = learned.PrefillRate, learned.PrefillDelay, learned.StartTime
		p.EventGap, p.SlowGap, p.GapSeen = learned.EventGap, learned.SlowGap, learned.GapSeen
		l.roster.RecordReport(p)
	}
}
