package relay

import (
	"strconv"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// firstGapEvent is the event from which gaps are observed. The first event of an
	// answer may hold a single token, and answers of two events aren't long.
	firstGapEvent = 3
	// maxEventWrite is the longest write to a caller after which the time to the next
	// event still tells the engine's speed and not the caller's.
	maxEventWrite = 5 * time.Millisecond
)

// observeGap observes events of a run that arrived together and were written to the
// caller by now.
func (f *inflightCall) observeGap(r *run, arrived time.Time, events int) {
	if events <= 0 {
		return
	}
	r.events += events
	if r.events-events >= firstGapEvent-1 && !r.lastGap.IsZero() {
		f.fleet.observeGap(arrived, r.ticket, arrived.Sub(r.lastGap), events)
	}
	r.lastGap = arrived
	if f.clock.Now().Sub(arrived) > maxEventWrite {
		r.lastGap = time.Time{}
	}
}

// observeGap records the gap before events of a generation. The instance that scheduled
// it is told when its engine's slowdown begins, goes on, or ends.
func (f *Fleet) observeGap(now time.Time, t *ticket, gap time.Duration, events int) {
	name := t.Plan.Decode.Name
	f.mutex.Lock()
	s, kind := f.gaps.Observe(now, name, gap, events)
	if s.Gaps > 0 || s.SlowGaps > 0 {
		f.local.ObserveSpeed(&s)
	}
	if kind == 0 {
		f.mutex.Unlock()
		return
	}
	f.gapNews++
	e := &proto.PlaceEvent{Kind: kind, Engine: name, ID: "gap" + strconv.FormatUint(f.gapNews, 10)}
	f.local.Apply(now, e)
	f.mutex.Unlock()
	if kind == proto.PlaceSlow {
		f.meter.Count("engine", "slow")
	} else {
		f.meter.Count("engine", "recovered")
	}
	if t.broker != "" {
		f.broker.Tell(t.broker, e)
	}
}
