package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/request/reach"
	"verbenahaven.example/core/version/view"
)

// pathInterval is the time between two looks at an instance's path.
const pathInterval = 20 * time.Millisecond

// pathDetector decides whether this instance has lost its path to all backend
// servers. See reach.Detector.
type pathDetector interface {
	SetServers(addresses []string)
	Dialling(now time.Time, address string)
	Dialled(now time.Time, address string, ok bool)
	Abandoned(now time.Time, address string)
	Sent(now time.Time, address string)
	Heard(now time.Time, address string)
	Ended(now time.Time, address string, lost bool)
	Suspicious(now time.Time) bool
	Cut(now time.Time) bool
	EvidenceSince(now time.Time) (since time.Time, found bool)
	DoubtsLosses(now time.Time) bool
	NextProbe(now time.Time) (address string, due bool)
	Probed(now time.Time, address string, ok bool)
}

// path is an instance's own path to the backend servers, as its connections show it.
// It implements httpc.Observer.
type path struct {
	clock clock.Clock

	mutex       sync.Mutex
	detector    pathDetector
	cut         bool // as it was logged
	failures    pathFailures
	healthPaths map[string]string // of plain servers, by address
}

// pathFailures counts what failed since bytes of an answer arrived.
type pathFailures struct {
	dials, losses int
}

func newPath(d pathDetector, c clock.Clock) *path { return &path{clock: c, detector: d} }

// Dialling implements httpc.Observer.
func (p *path) Dialling(address string) { p.detector.Dialling(p.clock.Now(), address) }

// Abandoned implements httpc.Observer.
func (p *path) Abandoned(address string) { p.detector.Abandoned(p.clock.Now(), address) }

// Dialled implements httpc.Observer.
func (p *path) Dialled(address string, ok bool) {
	if !ok {
		p.addFailures(1, 0)
	}
	p.detector.Dialled(p.clock.Now(), address, ok)
}

// Sent implements httpc.Observer.
func (p *path) Sent(address string) { p.detector.Sent(p.clock.Now(), address) }

// Heard implements httpc.Observer.
func (p *path) Heard(address string) {
	p.mutex.Lock()
	p.failures = pathFailures{}
	p.mutex.Unlock()
	p.detector.Heard(p.clock.Now(), address)
}

// Ended implements httpc.Observer.
func (p *path) Ended(address string, lost bool) {
	if lost {
		p.addFailures(0, 1)
	}
	p.detector.Ended(p.clock.Now(), address, lost)
}

func (p *path) addFailures(dials, losses int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures.dials += dials
	p.failures.losses += losses
}

// setServers sets the backend servers that the path leads to.
func (p *path) setServers(s *view.Snapshot) {
	engines, servers, table := s.Engines(), s.AllServers(), s.Routing()
	healthPaths := make(map[string]string, len(servers))
	addresses := make([]string, 0, len(engines)+len(servers))
	for _, e := range engines {
		addresses = append(addresses, server.HostPort(e.URL))
	}
	for _, v := range servers {
		address := server.HostPort(v.URL)
		addresses = append(addresses, address)
		if table != nil {
			pool, _ := table.Pool(v.Service)
			healthPaths[address] = pool.HealthPath
		}
	}
	p.detector.SetServers(addresses)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.healthPaths = healthPaths
}

// isCut reports whether calls should be served by another instance.
func (p *path) isCut() bool { return p.detector.Cut(p.clock.Now()) }

// isDoubtful reports whether the path may be cut.
func (p *path) isDoubtful() bool {
	now := p.clock.Now()
	return p.detector.Cut(now) || p.detector.Suspicious(now)
}

func (p *path) healthPath(address string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.healthPaths[address]
}

// look returns whether the path is cut, whether that changed since the last call,
// and what failed.
func (p *path) look() (cut, changed bool, f pathFailures) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cut = p.detector.Cut(p.clock.Now())
	changed = cut != p.cut
	p.cut = cut
	return cut, changed, p.failures
}

// watchPath logs when the path is cut and when it is back, and probes it, until ctx
// ends.
func (s *Proxy) watchPath(ctx context.Context) {
	ticker := time.NewTicker(pathInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.lookAtPath()
		for {
			address, due := s.fleet.path.detector.NextProbe(s.clock.Now())
			if !due {
				break
			}
			group.Go(func() { s.probe(ctx, address) })
		}
	}
}

// lookAtPath logs a change of the path. Connections that are open from before a cut
// would only fail the next requests, and servers that were lost by it are sound.
func (s *Proxy) lookAtPath() {
	cut, changed, f := s.fleet.path.look()
	switch {
	case !changed:
	case cut:
		s.pool.CloseAllIdle()
		s.fleet.withdrawLosses()
		s.meter.Count("path", "cut")
		s.log.Warn("path to the servers is cut", "dials", f.dials, "losses", f.losses)
	default:
		s.meter.Count("path", "back")
		s.log.Info("path to the servers is back")
	}
}

func (s *Proxy) probe(ctx context.Context, address string) {
	probeCtx, cancel := context.WithTimeout(ctx, reach.ProbeTimeout)
	defer cancel()
	ok := s.pool.Probe(probeCtx, address, s.codec.EncodeProbe(address, s.fleet.path.healthPath(address)))
	if ctx.Err() != nil {
		return
	}
	s.fleet.path.detector.Probed(s.clock.Now(), address, ok)
	s.meter.Count("path", "probed", strconv.FormatBool(ok))
}
