package relay

import (
	"strconv"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// lossMemory is how long a reported loss can be withdrawn: by then its
	// ejection has ended.
	lossMemory = 5 * time.Second
	// maxLossReports bounds the reports that are remembered.
	maxLossReports = 1024
)

// pathEvidence is the evidence against the instance's own path to the backend
// servers of a pool. See reach.Pools.
type pathEvidence interface {
	// EvidenceSince returns since when failures may be due to the path, and
	// whether there is evidence against it.
	EvidenceSince(now time.Time, pool string) (since time.Time, found bool)
	// DoubtsLosses reports whether the path may have broken connections in use.
	DoubtsLosses(now time.Time, pool string) bool
}

// lossReport is an engine that this instance reported as lost to a broker, given by
// its link address, empty if the report was for this instance only.
type lossReport struct {
	engine, pool, broker string
}

// lossReports remembers the latest reports. It is guarded by the fleet's mutex.
type lossReports struct {
	times     map[lossReport]time.Time
	withdrawn uint64 // number of withdrawals, for their IDs
}

// add records a report.
func (l *lossReports) add(now time.Time, r lossReport) {
	if l.times == nil {
		l.times = make(map[lossReport]time.Time)
	}
	if len(l.times) >= maxLossReports {
		l.prune(now)
	}
	if len(l.times) < maxLossReports {
		l.times[r] = now
	}
}

func (l *lossReports) prune(now time.Time) {
	for r, at := range l.times {
		if now.Sub(at) > lossMemory {
			delete(l.times, r)
		}
	}
}

// take removes and returns the reports of engines of a pool since a time.
func (l *lossReports) take(now, since time.Time, pool string) []lossReport {
	l.prune(now)
	var list []lossReport
	for r, at := range l.times {
		if r.pool == pool && !at.Before(since) {
			list = append(list, r)
			delete(l.times, r)
		}
	}
	return list
}

// SetPathEvidence sets the evidence against the instance's own path to the backend
// servers. Without it there is none.
func (f *Fleet) SetPathEvidence(p pathEvidence) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evidence = p
}

func (f *Fleet) pathEvidence() pathEvidence {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.evidence
}

// ownPathSuspicious reports whether a failed exchange with a server of a pool may be due
// to the instance's own path rather than to the server. sent reports whether the server may have got any of it.
func (f *Fleet) ownPathSuspicious(pool string, sent bool) bool {
	p, now := f.pathEvidence(), f.clock.Now()
	if p == nil {
		return false
	}
	if sent {
		return p.DoubtsLosses(now, pool)
	}
	_, found := p.EvidenceSince(now, pool)
	return found
}

// withdrawLosses withdraws the losses of a pool's engines that were reported since the
// evidence against the path to them began. It is called when the path turns out to be cut.
func (f *Fleet) withdrawLosses(pool string) {
	p, now := f.pathEvidence(), f.clock.Now()
	if p == nil {
		return
	}
	since, found := p.EvidenceSince(now, pool)
	if !found {
		return
	}
	type message struct {
		broker string
		event  proto.PlaceEvent
	}
	var messages []message
	f.mutex.Lock()
	for _, r := range f.losses.take(now, since, pool) {
		f.losses.withdrawn++
		e := proto.PlaceEvent{
			Kind: proto.PlaceReachable, Engine: r.engine,
			ID: f.name + "/" + strconv.FormatInt(now.UnixNano(), 36) + "/" + strconv.FormatUint(f.losses.withdrawn, 10),
		}
		f.local.Apply(now, &e)
		if r.broker != "" {
			messages = append(messages, message{r.broker, e})
		}
	}
	f.mutex.Unlock()
	for i := range messages {
		f.meter.Count("broker", "loss_withdrawn")
		f.broker.Tell(messages[i].broker, &messages[i].event)
	}
}
