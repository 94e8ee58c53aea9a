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
const pathInterval = 50 * time.Millisecond

// pathDetector decides whether this instance has lost its path to the backend
// servers of a pool. See reach.Pools.
type pathDetector interface {
	pathEvidence
	SetServers(addresses map[string][]string)
	Dialling(now time.Time, address string)
	Dialled(now time.Time, address string, ok bool)
	Abandoned(now time.Time, address string)
	Sent(now time.Time, address string)
	Heard(now time.Time, address string)
	Ended(now time.Time, address string, lost bool)
	Suspicious(now time.Time, pool string) bool
	Cut(now time.Time, pool string) bool
	NextProbe(now time.Time) (address string, due bool)
	Probed(now time.Time, address string, ok bool)
}

// path is an instance's own path to the backend servers, as its connections show it.
// It implements httpc.Observer.
type path struct {
	clock clock.Clock

	mutex       sync.Mutex
	detector    pathDetector
	cut         map[string]bool     // by pool, as it was logged
	addresses   map[string][]string // by pool
	healthPaths map[string]string   // of plain servers, by address
}

func newPath(d pathDetector, c clock.Clock) *path {
	return &path{clock: c, detector: d, cut: make(map[string]bool)}
}

// Dialling implements httpc.Observer.
func (p *path) Dialling(address string) { p.detector.Dialling(p.clock.Now(), address) }

// Abandoned implements httpc.Observer.
func (p *path) Abandoned(address string) { p.detector.Abandoned(p.clock.Now(), address) }

// Dialled implements httpc.Observer.
func (p *path) Dialled(address string, ok bool) {
	p.detector.Dialled(p.clock.Now(), address, ok)
}

// Sent implements httpc.Observer.
func (p *path) Sent(address string) { p.detector.Sent(p.clock.Now(), address) }

// Heard implements httpc.Observer.
func (p *path) Heard(address string) { p.detector.Heard(p.clock.Now(), address) }

// Ended implements httpc.Observer.
func (p *path) Ended(address string, lost bool) {
	p.detector.Ended(p.clock.Now(), address, lost)
}

// setServers sets the backend servers that the path leads to.
func (p *path) setServers(s *view.Snapshot) {
	engines, servers, table := s.Engines(), s.AllServers(), s.Routing()
	healthPaths := make(map[string]string, len(servers))
	addresses := make(map[string][]string)
	for _, e := range engines {
		addresses[e.Pool] = append(addresses[e.Pool], server.HostPort(e.URL))
	}
	for _, v := range servers {
		address := server.HostPort(v.URL)
		addresses[v.Service] = append(addresses[v.Service], address)
		if table != nil {
			pool, _ := table.Pool(v.Service)
			healthPaths[address] = pool.HealthPath
		}
	}
	p.detector.SetServers(addresses)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.healthPaths, p.addresses = healthPaths, addresses
}

// isCut reports whether the calls of a pool should be served by another instance.
func (p *path) isCut(pool string) bool { return p.detector.Cut(p.clock.Now(), pool) }

// isDoubtful reports whether the path to a pool may be cut.
func (p *path) isDoubtful(pool string) bool {
	now := p.clock.Now()
	return p.detector.Cut(now, pool) || p.detector.Suspicious(now, pool)
}

func (p *path) healthPath(address string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.healthPaths[address]
}

// look returns the pools to which the path was cut, or is back, since the last call.
func (p *path) look() (cut, back []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	for pool := range p.addresses {
		switch isCut := p.detector.Cut(now, pool); {
		case isCut == p.cut[pool]:
		case isCut:
			p.cut[pool] = true
			cut = append(cut, pool)
		default:
			delete(p.cut, pool)
			back = append(back, pool)
		}
	}
	return cut, back
}

func (p *path) addressesOf(pool string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[pool]
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

// lookAtPath logs changes of the path. Connections that are open from before a cut
// would only fail the next requests, and servers that were lost by it are sound.
func (s *Proxy) lookAtPath() {
	cut, back := s.fleet.path.look()
	for _, pool := range cut {
		list := s.fleet.path.addressesOf(pool)
		for _, address := range list {
			s.pool.CloseIdle(address)
		}
		s.fleet.withdrawLosses(pool)
		s.meter.Count("path", "cut")
		s.log.Warn("path to the servers is cut", "pool", pool, "servers", len(list))
	}
	for _, pool := range back {
		s.meter.Count("path", "back")
		s.log.Info("path to the servers is back", "pool", pool)
	}
}

func (s *Proxy) probe(ctx context.Context, address string) {
	name, found := s.fleet.serverAt(address)
	if !found {
		return // the detector takes the probe for lost and asks another server
	}
	q := s.codec.EncodeProbe(name, address, s.fleet.path.healthPath(address))
	end, allowed := s.beginOwn(name, q)
	if !allowed {
		return
	}
	defer end()
	probeCtx, cancel := context.WithTimeout(ctx, reach.ProbeTimeout)
	defer cancel()
	ok := s.pool.Probe(probeCtx, address, q)
	if ctx.Err() != nil {
		return
	}
	s.fleet.path.detector.Probed(s.clock.Now(), address, ok)
	s.meter.Count("path", "probed", strconv.FormatBool(ok))
}
