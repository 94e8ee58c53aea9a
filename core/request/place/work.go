package place

import (
	"math"
	"slices"
	"time"

	"verbenahaven.example/core/request/rank"
)

const (
	// inFlightCost is the cost of each request that this instance has at a plain
	// server: it stands for the slots that others find taken.
	inFlightCost = 8 * time.Millisecond
	// remainingShare is the cost of the remaining work at a server, as a share
	// of its time: it decides between servers with as many requests.
	remainingShare = 1.0 / 32
	// assumedWork is the expected time of a request before any of its route
	// was answered.
	assumedWork = 32 * time.Millisecond
	// minRemaining is the least remaining share of a request's expected time.
	minRemaining = 0.1
	// maxRoutes bounds the learned times of routes. A time that wasn't observed
	// for routeTTL is forgotten.
	maxRoutes = 512
	routeTTL  = 10 * time.Minute
	// workWeight is the least weight of a new answer in the mean time of a
	// route's requests.
	workWeight = 0.05
	// maxWorkRatio is how many times the mean a time counts in it after
	// minWorkSample answers, so that a slowdown of a server changes it little.
	maxWorkRatio  = 1.5
	minWorkSample = 16
	// slotsTTL is the time after which learned slots that weren't seen in use
	// again are forgotten.
	slotsTTL = time.Minute
)

// workKey is a kind of request to plain servers. Times are kept by data centre,
// since they contain the network's.
type workKey struct{ pool, route, centre string }

// workTime is the mean time that requests of a kind take, in seconds.
type workTime struct {
	mean  float64
	count int
	at    time.Time // last observation
}

// add adds an observation.
func (w *workTime) add(now time.Time, seconds float64) {
	w.at = now
	w.count++
	if w.count > minWorkSample {
		seconds = min(seconds, maxWorkRatio*w.mean)
	}
	w.mean += max(workWeight, 1/float64(w.count)) * (seconds - w.mean)
}

// workTimes are the learned times of requests to plain servers. They answer loads whose
// routes differ in work, and servers that slow down for moments: by counts, requests wait
// behind long and overdue ones as readily as behind others.
type workTimes map[workKey]*workTime

// get returns the time of a kind of request, nil if it isn't known.
func (t workTimes) get(now time.Time, key workKey) *workTime {
	if w := t[key]; w != nil && now.Sub(w.at) <= routeTTL {
		return w
	}
	return nil
}

// observe adds the time of a request.
func (t workTimes) observe(now time.Time, key workKey, took time.Duration) {
	w := t.get(now, key)
	if w == nil {
		if len(t) >= maxRoutes {
			delete(t, rank.Oldest(t, func(w *workTime) time.Time { return w.at }))
		}
		w = &workTime{}
		t[key] = w
	}
	w.add(now, took.Seconds())
}

// slotCount is the number of requests that a pool's servers were seen to run at
// once. In order of arrival, the requests that a later one overtakes all run.
type slotCount struct {
	current, previous int // in the period since then, and in the one before it
	since             time.Time
}

// observe records that a number of requests ran at once.
func (c *slotCount) observe(now time.Time, running int) {
	if now.Sub(c.since) > slotsTTL {
		c.previous, c.current, c.since = c.current, 0, now
	}
	c.current = max(c.current, running)
}

// slots returns the number, 0 if it isn't known.
func (c *slotCount) slots() int {
	if c == nil {
		return 0
	}
	return max(c.current, c.previous)
}

// sentCall is a request that is in flight at a plain server.
type sentCall struct {
	id  uint64
	at  time.Time
	key workKey
}

// remaining returns the expected time until the request is done. One that is
// overdue is expected to take as long again as it is overdue: its server is slow
// or loaded by others.
func (t workTimes) remaining(now time.Time, c *sentCall) time.Duration {
	w := t.get(now, c.key)
	if w == nil {
		return assumedWork
	}
	left := max(math.Abs(w.mean-now.Sub(c.at).Seconds()), minRemaining*w.mean)
	return time.Duration(left * float64(time.Second))
}

// loadCost returns the cost of a server's load for another request: the time
// until a slot is free there, as far as the slots are known, and the costs of
// what this instance has there.
func (s *Servers) loadCost(now time.Time, p *plainServer) time.Duration {
	s.scratch = s.scratch[:0]
	total := time.Duration(0)
	for i := range p.sent {
		left := s.times.remaining(now, &p.sent[i])
		total += left
		s.scratch = append(s.scratch, left)
	}
	cost := time.Duration(len(p.sent))*inFlightCost + time.Duration(remainingShare*float64(total))
	if slots := s.slots[p.server.Service].slots(); slots > 0 && len(p.sent) >= slots {
		slices.Sort(s.scratch)
		cost += s.scratch[len(p.sent)-slots]
	}
	return cost
}

// finish removes a request from those in flight. It returns the number of
// earlier ones that are still there.
func (p *plainServer) finish(id uint64) (c sentCall, overtaken int, found bool) {
	for i, c := range p.sent {
		if c.id == id {
			p.sent = slices.Delete(p.sent, i, i+1)
			return c, i, true
		}
	}
	return sentCall{}, 0, false
}

// RecordDone removes a request, given by its tie-breaker, that was in flight at
// a server. Answered is true if the server ran it to its end: then its time is
// learned.
func (s *Servers) RecordDone(now time.Time, name string, tieBreaker uint64, answered bool) {
	p := s.byName[name]
	if p == nil {
		return
	}
	c, overtaken, found := p.finish(tieBreaker)
	if !found || !answered {
		return
	}
	s.times.observe(now, c.key, now.Sub(c.at))
	count := s.slots[c.key.pool]
	if count == nil {
		count = &slotCount{since: now}
		s.slots[c.key.pool] = count
	}
	count.observe(now, overtaken+1)
}
