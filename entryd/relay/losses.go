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

// pathDoubt returns since when failures may be due to the instance's own path to
// the backend servers, and false if nothing speaks against the path.
type pathDoubt func() (since time.Time, doubtful bool)

// lossReport is an engine that this instance reported as lost to a broker, given by
// its link address, empty if the report was for this instance only.
type lossReport struct {
	engine, broker string
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

// take removes and returns the reports since a time.
func (l *lossReports) take(now, since time.Time) []lossReport {
	l.prune(now)
	var list []lossReport
	for r, at := range l.times {
		if !at.Before(since) {
			list = append(list, r)
			delete(l.times, r)
		}
	}
	return list
}

// SetPathDoubt sets what tells of doubts about the instance's own path to the
// backend servers. Without it there are none.
func (f *Fleet) SetPathDoubt(d pathDoubt) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.doubt = d
}

// ownPathDoubt returns since when the instance's own path is in doubt.
func (f *Fleet) ownPathDoubt() (since time.Time, doubtful bool) {
	f.mutex.Lock()
	doubt := f.doubt
	f.mutex.Unlock()
	if doubt == nil {
		return time.Time{}, false
	}
	return doubt()
}

// ownPathSuspicious reports whether a failure may be due to the instance's own path
// rather than to a server.
func (f *Fleet) ownPathSuspicious() bool {
	_, doubtful := f.ownPathDoubt()
	return doubtful
}

// withdrawLosses withdraws the losses of engines that were reported since the
// instance's own path is in doubt. It is called when the path turns out to be cut.
func (f *Fleet) withdrawLosses() {
	since, doubtful := f.ownPathDoubt()
	if !doubtful {
		return
	}
	type message struct {
		broker string
		event  proto.PlaceEvent
	}
	var messages []message
	f.mutex.Lock()
	now := f.clock.Now()
	for _, r := range f.losses.take(now, since) {
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
