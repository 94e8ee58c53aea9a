package reach

import (
	"cmp"
	"time"

	"verbenahaven.example/core/request/rank"
)

const (
	// share of the known servers that must have failed, with its bounds.
	share                    = 3
	minFailures, maxFailures = 2, 4
	confirmations            = 2 // failed probes that confirm the evidence
	probeInterval            = 200 * time.Millisecond
	returnTo                 = 2 // distinct servers that must be reachable again
	relapse                  = 5 * time.Second
	maxRepeats               = 2
)

// threshold returns the number of distinct servers whose failure is evidence
// against the path.
func (d *Detector) threshold() int {
	return min(max(len(d.addresses)/share, minFailures), maxFailures)
}

// required returns the number of distinct servers that have failed when the evidence
// is confirmed.
func (d *Detector) required() int {
	return min(d.threshold()+confirmations, len(d.addresses))
}

// failed reports whether a server is evidence against the path.
func (d *Detector) failed(now time.Time, s *server) bool {
	return d.refused(now, s) || s.broken.counts(now, d.answers) || d.silent(now, s)
}

func (d *Detector) refused(now time.Time, s *server) bool {
	return s.refused.counts(now, d.reaches)
}

func (d *Detector) silent(now time.Time, s *server) bool {
	return d.unanswered(now, s) || s.dialling.silent(now, d.quietSince)
}

// unanswered reports whether an exchange is silent, or was until it was given up.
func (d *Detector) unanswered(now time.Time, s *server) bool {
	return s.waiting.silent(now, d.quietSince) || s.unanswered.counts(now, d.answers)
}

// firstFailure returns the time of the earliest failure that is evidence.
func (d *Detector) firstFailure(now time.Time) time.Time {
	first := now
	note := func(counts bool, since time.Time) {
		if counts && since.Before(first) {
			first = since
		}
	}
	for s := range d.active {
		note(d.refused(now, s), s.refused.first)
		note(s.broken.counts(now, d.answers), s.broken.first)
		note(s.unanswered.counts(now, d.answers), s.unanswered.first)
		note(s.waiting.silent(now, d.quietSince), later(s.waiting.since, d.quietSince))
		note(s.dialling.silent(now, d.quietSince), later(s.dialling.since, d.quietSince))
	}
	return first
}

// doubtfulSince returns the time since when losses of servers may be due to the
// path: also those after the last success, since streams that break off come before
// the first evidence.
func (d *Detector) doubtfulSince(now time.Time) time.Time {
	first := d.firstFailure(now)
	if last := later(d.quietSince, first.Add(-window)); last.Before(first) {
		return last
	}
	return first
}

// count returns the number of servers for which a condition holds, which implies that they
// aren't idle.
func (d *Detector) count(now time.Time, holds func(s *server) bool) int {
	n := 0
	for s := range d.active {
		switch {
		case holds(s):
			n++
		case s.idle(now):
			delete(d.active, s)
		}
	}
	return n
}

func (d *Detector) failures(now time.Time) int {
	return d.count(now, func(s *server) bool { return d.failed(now, s) })
}

func (d *Detector) suspicious(now time.Time) bool {
	return len(d.addresses) >= minFailures && !now.Before(d.trustedUntil) && d.failures(now) >= minFailures
}

// decide moves between the states of a sound and of a cut path.
func (d *Detector) decide(now time.Time) {
	switch {
	case d.cut && d.restored():
		d.leave(now)
	case !d.cut && d.lost(now):
		d.enter(now)
	}
}

// lost reports whether the evidence is complete and confirmed by probes.
func (d *Detector) lost(now time.Time) bool {
	if !d.suspicious(now) {
		return false
	}
	if d.failures(now) < d.required() {
		return false
	}
	confirmed := d.count(now, func(s *server) bool { return s.probed.counts(now, d.reaches) })
	refused := d.count(now, func(s *server) bool { return d.refused(now, s) })
	return confirmed >= confirmations || refused == len(d.addresses)
}

func (d *Detector) enter(now time.Time) {
	d.cut = true
	d.evidenceSince = d.doubtfulSince(now)
	d.repeats = min(d.repeats+1, maxRepeats)
	if d.endedAt.IsZero() || now.Sub(d.endedAt) > relapse {
		d.repeats = 0
	}
	for _, s := range d.servers {
		s.successes = 0
	}
}

// restored reports whether enough servers are reachable again. A cut that follows
// another one ends after more successes, at the same number of servers.
func (d *Detector) restored() bool {
	if len(d.addresses) < minFailures {
		return true
	}
	reachable, successes := 0, 0
	for _, s := range d.servers {
		successes += s.successes
		reachable += min(s.successes, 1)
	}
	return reachable >= returnTo && successes >= returnTo+d.repeats
}

func (d *Detector) leave(now time.Time) {
	d.cut = false
	d.endedAt = now
	d.reaches++
	d.answers++
	d.quietSince = now
}

// NextProbe returns the address of a server to connect to now. The result is
// recorded with Probed, after ProbeTimeout at the latest.
func (d *Detector) NextProbe(now time.Time) (address string, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide(now)
	underWay := d.count(now, func(s *server) bool { return probing(now, s) })
	var s *server
	switch {
	case d.cut:
		s = d.nextWhileCut(now, underWay)
	case d.suspicious(now) && underWay < max(confirmations, d.required()-d.failures(now)):
		s = d.candidate(now)
	}
	if s == nil {
		return "", false
	}
	s.probingSince, d.lastProbe = now, now
	d.active[s] = struct{}{}
	return s.address, true
}

func probing(now time.Time, s *server) bool {
	return !s.probingSince.IsZero() && now.Sub(s.probingSince) < lostProbe
}

func (d *Detector) nextWhileCut(now time.Time, underWay int) *server {
	if underWay > 0 || now.Sub(d.lastProbe) < probeInterval {
		return nil
	}
	d.rotation %= len(d.addresses)
	s := d.servers[d.addresses[d.rotation]]
	d.rotation++
	return s
}

// candidate returns the server that tells most about a suspected path: one that
// hasn't failed, rather one that was reachable lately. Servers that have been
// down for longer come last, since their failure is no news.
func (d *Detector) candidate(now time.Time) *server {
	var best *server
	for _, a := range d.addresses {
		s := d.servers[a]
		if d.refused(now, s) || probing(now, s) {
			continue
		}
		if best == nil || d.compare(now, s, best) < 0 {
			best = s
		}
	}
	return best
}

func (d *Detector) compare(now time.Time, a, b *server) int {
	return cmp.Or(
		rank.Bools(a.down, b.down),
		rank.Bools(d.failed(now, a), d.failed(now, b)),
		b.reachedAt.Compare(a.reachedAt),
	)
}

// Probed records the result of a probe.
func (d *Detector) Probed(now time.Time, address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.servers[address]
	if !found {
		return
	}
	s.probingSince = time.Time{}
	if ok && !d.cut && d.suspicious(now) {
		d.trustedUntil = now.Add(trust)
	}
	d.connected(now, s, ok)
	if !ok {
		s.successes = 0 // other attempts may have begun long before
		s.probed.record(now, d.reaches)
		d.active[s] = struct{}{}
	}
	d.decide(now)
}
