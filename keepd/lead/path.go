package lead

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/reach"
	"verbenahaven.example/core/version/state"
)

// pathInterval is the time between two looks at the member's path.
const pathInterval = 20 * time.Millisecond

const (
	// minJudged is the number of engines from which failures tell about the path.
	minJudged = 2
	// maxQuiet is the time from the latest answer after which the path may be cut.
	// The detector alone takes it for cut when a single engine is left.
	maxQuiet = 500 * time.Millisecond
)

const (
	// handOverAfter is the time for which the path must be cut before another
	// keeper is asked to lead.
	handOverAfter = time.Second
	// handOverInterval is the shortest time between two such requests, so that
	// leadership doesn't circle when all keepers are cut.
	handOverInterval = 10 * time.Second
)

// path decides whether a failed read of a report tells about the engine or about
// this member's own path to all engines. It answers the trouble of a leader that
// loses its path and would report sound engines as dead to all instances. A failure
// counts only once an engine has answered after it, and never while the path is cut.
type path struct {
	detector   *reach.Detector
	engines    map[string]state.Engine // by address
	held       map[string]proto.Report // failed since the latest answer, by engine
	answeredAt time.Time               // latest answer
	cut        bool
	cutAt      time.Time // begin of the latest cut
	backAt     time.Time // and its end
}

func newPath() *path {
	return &path{detector: reach.New(), held: make(map[string]proto.Report)}
}

// setEngines sets the engines that the path leads to.
func (p *path) setEngines(engines []state.Engine) {
	p.engines = make(map[string]state.Engine, len(engines))
	for _, e := range engines {
		p.engines[server.HostPort(e.URL)] = e
	}
	p.detector.SetServers(slices.Collect(maps.Keys(p.engines)))
}

// answered records that an engine answered, and returns the reports of engines that
// are thereby known to be dead.
func (p *path) answered(now time.Time, engine string) []proto.Report {
	p.answeredAt = now
	delete(p.held, engine)
	if p.cut {
		clear(p.held)
	}
	dead := slices.Collect(maps.Values(p.held))
	clear(p.held)
	return dead
}

// failed records that the read of a report failed that began at a time, and returns
// the reports of engines that are thereby known to be dead.
func (p *path) failed(began time.Time, r proto.Report) []proto.Report {
	switch {
	case len(p.engines) < minJudged:
		return []proto.Report{r}
	case !p.cut && !began.Before(p.backAt):
		p.held[r.Engine] = r
	}
	return nil
}

// look returns whether the path is cut, and whether that changed since the last call.
func (p *path) look(now time.Time) (cut, changed bool) {
	cut = p.detector.Cut(now) && now.Sub(p.answeredAt) >= maxQuiet
	changed = cut != p.cut
	switch {
	case changed && cut:
		p.cutAt = now
	case changed:
		p.backAt = now
	}
	p.cut = cut
	return cut, changed
}

// handOverDue reports whether another keeper should lead.
func (p *path) handOverDue(now, latest time.Time) bool {
	return p.cut && now.Sub(p.cutAt) >= handOverAfter && (latest.IsZero() || now.Sub(latest) >= handOverInterval)
}

// pathDetector returns the detector of the current term.
func (l *Leader) pathDetector() *reach.Detector {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.path.detector
}

// observe records in the detector whether f reaches the engine at an address.
func (l *Leader) observe(ctx context.Context, address string, f func() error) error {
	d := l.pathDetector()
	d.Dialling(l.clock.Now(), address)
	err := f()
	if ctx.Err() != nil {
		d.Abandoned(l.clock.Now(), address)
		return err
	}
	d.Dialled(l.clock.Now(), address, err == nil)
	return err
}

// watchPath logs when the path to the engines is cut and when it is back, and probes
// it, while this member leads.
func (l *Leader) watchPath(ctx context.Context) {
	if l.discovery == nil {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	runEvery(ctx, pathInterval, func() {
		for _, e := range l.lookAtPath() {
			group.Go(func() { l.probePath(ctx, e) })
		}
	})
}

// lookAtPath acts on the state of the path and returns the engines to probe.
func (l *Leader) lookAtPath() []state.Engine {
	var probes []state.Engine
	_ = l.withLease(func(time.Duration, uint64) {
		now := l.clock.Now()
		if cut, changed := l.path.look(now); changed {
			l.logPath(cut)
		}
		if l.path.handOverDue(now, l.handedOverAt) {
			l.handOver(now)
		}
		for a, due := l.path.detector.NextProbe(now); due; a, due = l.path.detector.NextProbe(now) {
			probes = append(probes, l.path.engines[a])
		}
	})
	return probes
}

func (l *Leader) logPath(cut bool) {
	if cut {
		l.meter.Count("path", "cut")
		klog.InfoS("path to the engines is cut", "engines", len(l.path.engines))
		return
	}
	l.meter.Count("path", "back")
	klog.InfoS("path to the engines is back")
}

// handOver asks another keeper to lead, which may reach the engines. The mutex must
// be locked.
func (l *Leader) handOver(now time.Time) {
	l.handedOverAt = now
	l.meter.Count("path", "handed_over")
	klog.InfoS("handing over leadership: path to the engines is cut", "since", l.path.cutAt)
	l.log.HandOver()
}

// probePath reads the report of an engine to test the path. A failure says nothing
// about the engine, which gets less time for its answer than in a regular read.
func (l *Leader) probePath(ctx context.Context, e state.Engine) {
	d := l.pathDetector()
	probeCtx, cancel := context.WithTimeout(ctx, reach.ProbeTimeout)
	defer cancel()
	p, err := l.discovery.Report(probeCtx, e)
	if ctx.Err() != nil {
		return
	}
	d.Probed(l.clock.Now(), server.HostPort(e.URL), err == nil)
	if err == nil {
		l.recordReport(e, p)
	}
}
