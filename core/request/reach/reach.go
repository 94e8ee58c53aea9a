// Package reach decides whether an instance has lost its own path to the backend
// servers. Such an instance would refuse calls that its neighbours can serve, and
// would report sound servers as lost.
//
// One server that fails is evidence about that server. Several distinct servers
// that fail with no success at any of them in between are evidence about the
// instance: it is suspicious of its own path and probes servers that haven't
// failed. A successful probe shows that the path is sound, and that servers have
// failed together; failed probes show that the path is cut.
package reach

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// ProbeTimeout is the time after which a probe counts as failed.
const ProbeTimeout = 250 * time.Millisecond

const (
	// window is the age up to which failures are evidence.
	window = 2 * time.Second
	// silence is the time without any byte after which waiting exchanges are evidence.
	silence = 400 * time.Millisecond
	// trust is the time after a successful probe during which the path isn't suspected.
	trust = 200 * time.Millisecond
	// lostProbe is the age of a probe whose result is no longer awaited.
	lostProbe = time.Second
)

// Detector decides from an instance's exchanges with backend servers whether the
// instance itself has lost its path to them. It answers the trouble of instances
// whose connections to all servers are reset, refused or silent while their
// neighbours work. It may be used concurrently.
type Detector struct {
	mu        sync.Mutex
	servers   map[string]*server
	active    map[*server]struct{} // all with something pending or a failure that may count
	addresses []string             // sorted
	// reaches and answers number the periods that end with a successful connection
	// attempt and with a received byte. Failures of earlier periods are no evidence.
	reaches, answers uint64
	quietSince       time.Time // of the latest success or byte
	trustedUntil     time.Time

	cut           bool
	evidenceSince time.Time // of the latest cut
	endedAt       time.Time // of the previous cut
	repeats       int       // cuts that followed each other shortly
	lastProbe     time.Time
	rotation      int // index of the next address to probe while cut
}

// server is what is known of the path to one backend server.
type server struct {
	address      string
	refused      failure // latest failed connection attempt
	probed       failure // latest failed probe
	broken       failure // latest exchange that broke before any byte
	unanswered   failure // latest exchange that was given up after silence
	down         bool    // the latest connection attempt failed
	reachedAt    time.Time
	probingSince time.Time // zero without a probe under way
	dialling     pending   // connection attempts
	waiting      pending   // exchanges
	successes    int       // connections in a row since the cut began
}

// failure is the latest failure of a kind, and the first one of its run.
type failure struct {
	period    uint64
	first, at time.Time
}

// record adds a failure in a period.
func (f *failure) record(now time.Time, period uint64) {
	if !f.counts(now, period) {
		f.first = now
	}
	f.period, f.at = period, now
}

// counts reports whether the failure is evidence.
func (f *failure) counts(now time.Time, period uint64) bool {
	return f.period == period && now.Sub(f.at) < window
}

// idle reports whether nothing of the server can be evidence.
func (s *server) idle(now time.Time) bool {
	for _, f := range []*failure{&s.refused, &s.probed, &s.broken, &s.unanswered} {
		if now.Sub(f.at) < window {
			return false
		}
	}
	return s.dialling.count == 0 && s.waiting.count == 0 && !probing(now, s)
}

// pending counts what has begun and not ended.
type pending struct {
	count int
	since time.Time // when the first of the present run began
}

func (p *pending) begin(now time.Time) {
	if p.count == 0 {
		p.since = now
	}
	p.count++
}

func (p *pending) end() { p.count = max(0, p.count-1) }

// silent reports whether something has been pending for the limit of silence, and
// nothing was heard from any server since quietSince.
func (p *pending) silent(now, quietSince time.Time) bool {
	return p.count > 0 && now.Sub(later(p.since, quietSince)) >= silence
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// New returns a detector that knows no servers.
func New() *Detector {
	return &Detector{servers: make(map[string]*server), active: make(map[*server]struct{}), reaches: 1, answers: 1}
}

// SetServers sets the addresses, host:port, of all known backend servers. Others
// are forgotten.
func (d *Detector) SetServers(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = slices.Compact(slices.Sorted(slices.Values(addresses)))
	known := make(map[string]*server, len(d.addresses))
	for _, a := range d.addresses {
		s, found := d.servers[a]
		if !found {
			s = &server{address: a}
		}
		known[a] = s
	}
	d.servers = known
	maps.DeleteFunc(d.active, func(s *server, _ struct{}) bool { return known[s.address] != s })
}

// Dialling records the begin of a connection attempt. A caller that leaves it out
// detects silent connection attempts only when they end.
func (d *Detector) Dialling(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, found := d.servers[address]; found {
		s.dialling.begin(now)
		d.active[s] = struct{}{}
	}
}

// Dialled records the end of a connection attempt.
func (d *Detector) Dialled(now time.Time, address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.servers[address]
	if !found {
		return
	}
	s.dialling.end()
	d.connected(now, s, ok)
	d.decide(now)
}

// connected records the result of a connection attempt or probe.
func (d *Detector) connected(now time.Time, s *server, ok bool) {
	s.down = !ok
	if !ok {
		s.refused.record(now, d.reaches)
		d.active[s] = struct{}{}
		return
	}
	s.reachedAt = now
	s.successes++
	d.reaches++
	d.answers++
	d.quietSince = now
}

// Sent records that a request was written and waits for its answer.
func (d *Detector) Sent(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, found := d.servers[address]; found {
		s.waiting.begin(now)
		d.active[s] = struct{}{}
	}
}

// Heard records that bytes of an answer arrived.
func (d *Detector) Heard(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := d.servers[address]; !found {
		return
	}
	d.answers++
	d.quietSince = now
}

// Ended records the end of an exchange that was Sent. Lost reports that its
// connection broke or went silent before any byte of an answer.
func (d *Detector) Ended(now time.Time, address string, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.servers[address]
	if !found {
		return
	}
	// At an instance with few calls, each ends at its deadline before the next is silent.
	unanswered := s.waiting.silent(now, d.quietSince)
	if unanswered {
		s.unanswered.record(now, d.answers)
	}
	s.waiting.end()
	if lost {
		s.broken.record(now, d.answers)
	}
	d.active[s] = struct{}{}
	if lost || unanswered {
		d.decide(now)
	}
}

// Suspicious reports whether evidence against the own path is mounting, so that a
// failure should not be held against a server.
func (d *Detector) Suspicious(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide(now)
	return d.cut || d.suspicious(now)
}

// DoubtsLosses reports whether the own path may have broken connections that were in
// use. Failed connection attempts alone don't say so: while bytes arrive in between,
// a server broke its connection itself.
func (d *Detector) DoubtsLosses(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide(now)
	if d.cut {
		return true
	}
	n := d.count(now, func(s *server) bool { return s.broken.counts(now, d.answers) || d.unanswered(now, s) })
	return d.suspicious(now) && n >= minFailures
}

// Cut reports whether the own path is lost, so that calls should be served by a
// peer.
func (d *Detector) Cut(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide(now)
	return d.cut
}

// EvidenceSince returns the time since when losses of servers may be due to the own
// path, and whether there is evidence against it.
func (d *Detector) EvidenceSince(now time.Time) (since time.Time, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide(now)
	if d.cut {
		return d.evidenceSince, true
	}
	return d.doubtfulSince(now), d.suspicious(now)
}
