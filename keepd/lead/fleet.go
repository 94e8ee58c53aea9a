package lead

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	// fleetTimeout bounds one reading of the platform's list.
	fleetTimeout = 1500 * time.Millisecond
	// reportTimeout bounds the reading of one report. One that takes longer
	// than a few periods is of no use.
	reportTimeout = 600 * time.Millisecond
	// reportWorkers bound the reports that are read at once.
	reportWorkers = 16
	// reportLife is the age from which a report doesn't tell an engine's role.
	reportLife = 2 * time.Second
	// reportRate bounds the reports that are read a second, for all engines.
	reportRate = 100
)

// Fleet is a platform that lists the backend servers and whose engines report
// their load to whoever asks.
type Fleet interface {
	// List reads the whole list.
	List(ctx context.Context) (state.Fleet, error)
	// Report reads the load of an engine.
	Report(ctx context.Context, e state.Engine) (proto.Report, error)
}

// Paces are the times between two readings of the list, and of an engine's
// report.
type Paces struct {
	List, Report time.Duration
}

// Follow makes the leader follow a platform's list and read the engines'
// reports for all instances. It is called before Serve.
func (l *Lead) Follow(f Fleet, p Paces) {
	l.fleet, l.paces = f, p
}

// runFleet brings the platform's list into the state while this member leads.
func (l *Lead) runFleet(ctx context.Context) {
	if l.fleet == nil {
		return
	}
	lost := false
	every(ctx, l.paces.List, func() {
		if l.leading() == 0 {
			return
		}
		one, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		f, err := l.fleet.List(one)
		if (err != nil) != lost {
			lost = err != nil
			klog.InfoS("platform's list", "reached", !lost, "err", err)
		}
		if err != nil {
			// The fleet known before stays: a list that can't be read isn't empty.
			l.meter.Count("list", "failed")
			return
		}
		l.sync(ctx, f)
	})
}

// sync proposes the fleet if it differs from the state.
func (l *Lead) sync(ctx context.Context, f state.Fleet) {
	now := l.clock.Now()
	var v state.View
	known := make(map[string]state.Engine)
	ordered := make(map[string]bool) // engines whose reports may be older than their last order
	l.read(func(s *state.State, _ *ledger.Ledger) {
		v = s.View(0)
		for _, e := range v.Engines {
			known[e.Name] = e
			ordered[e.Name] = now.Sub(s.Changed(e.Name)) < reportLife
		}
	})
	_ = l.hold(func(time.Duration, uint64) {
		for i := range f.Engines {
			e := &f.Engines[i]
			if old, found := known[e.Name]; found {
				e.Role = old.Role
			}
			// Reports lag less than the list.
			r, heard := l.roster.Report(e.Name)
			if heard && r.Alive && now.Sub(r.At) < reportLife && !ordered[e.Name] {
				e.Role = r.Role
			}
		}
	})
	if !fleetDiffers(f, v) {
		return
	}
	if _, err := propose[any](ctx, l, store.Command{Fleet: &f}); err != nil {
		klog.InfoS("fleet not recorded", "err", err)
		return
	}
	l.meter.Count("list", "changed")
	klog.InfoS("fleet", "engines", len(f.Engines), "servers", len(f.Servers))
}

// fleetDiffers tells whether syncing a fleet would change the state. Engines
// with an open order count by what the order doesn't decide.
func fleetDiffers(f state.Fleet, v state.View) bool {
	if len(f.Engines) != len(v.Engines) || len(f.Servers) != len(v.Servers) {
		return true
	}
	for _, e := range f.Engines {
		i := slices.IndexFunc(v.Engines, func(o state.Engine) bool { return o.Name == e.Name })
		if i < 0 {
			return true
		}
		old := v.Engines[i]
		if old.Phase == state.PhaseChanging {
			e.Phase, e.Role = old.Phase, old.Role
		}
		e.Version = old.Version
		if e != old {
			return true
		}
	}
	for _, s := range f.Servers {
		i := slices.IndexFunc(v.Servers, func(o state.Server) bool { return o.Name == s.Name })
		if i < 0 {
			return true
		}
		s.Version = v.Servers[i].Version
		if s != v.Servers[i] {
			return true
		}
	}
	return false
}

// runReports reads the engines' reports while this member leads.
func (l *Lead) runReports(ctx context.Context) {
	if l.fleet == nil {
		return
	}
	work := make(chan state.Engine, orderRing)
	var group sync.WaitGroup
	for range reportWorkers {
		group.Go(func() {
			for e := range work {
				l.report(ctx, e)
			}
		})
	}
	for ctx.Err() == nil {
		n := l.askReports(work)
		wait := max(l.paces.Report, time.Duration(n)*time.Second/reportRate)
		sleep(ctx, wait)
	}
	close(work)
	group.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// askReports hands the engines to the workers and returns how many there are.
func (l *Lead) askReports(work chan<- state.Engine) int {
	if l.leading() == 0 {
		return 0
	}
	var engines []state.Engine
	l.read(func(s *state.State, _ *ledger.Ledger) { engines = s.View(0).Engines })
	for _, e := range engines {
		select {
		case work <- e:
		default:
			l.meter.Count("report", "skipped")
		}
	}
	return len(engines)
}

func (l *Lead) report(ctx context.Context, e state.Engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	p, err := l.fleet.Report(ctx, e)
	if err != nil {
		l.meter.Count("report", "failed")
		p = proto.Report{Engine: e.Name, Role: e.Role}
	}
	p.Engine, p.At, p.Alive = e.Name, l.clock.Now(), err == nil
	_ = l.hold(func(time.Duration, uint64) { l.roster.Heed(p) })
}
