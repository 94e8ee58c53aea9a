package speed

import (
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// lateFactor is how many times the usual gap makes an event late. Batches that
	// fill up, and prompts between two steps, lengthen gaps by less.
	lateFactor = 1.7
	// earlyFactor is the share of the usual gap below which a gap says nothing:
	// events that arrive together, or the short last one of an answer.
	earlyFactor = 0.5
	// gapWeight is the weight of a gap in the usual gap of its engine.
	gapWeight = 0.1
	// lateInterval is the longest time between two late events that show one
	// slowdown.
	lateInterval = 500 * time.Millisecond
	// maxSlowdownTime is how long a slowdown lasts at most. An engine whose events
	// stay late has become slower.
	maxSlowdownTime = 2 * time.Second
	// slowReportInterval is the time after which a slowdown that goes on is reported again.
	slowReportInterval = 200 * time.Millisecond
	// maxGapEngines bounds the engines whose gaps are known at an instance.
	maxGapEngines = 4096
)

// engineGaps is what an instance knows of the gaps between an engine's events.
type engineGaps struct {
	usual    time.Duration
	lastLate time.Time
	slow     time.Time // since when the engine has been in a slowdown, zero if it isn't
	reported time.Time // last report of it
}

// Gaps observes the gaps between the events of long answers at one instance, and
// detects slowdowns of some hundred milliseconds: one begins with the second late
// event of an engine and ends with the first event on time. It answers loads whose
// callers expect each event in time, on engines that slow down for moments.
type Gaps struct {
	engines map[string]*engineGaps
}

// NewGaps returns a Gaps without observations.
func NewGaps() *Gaps { return &Gaps{engines: make(map[string]*engineGaps)} }

// Observe records the gap before events that arrived together. It returns the
// observation for the model, and the kind of the event that is due for the broker, 0
// for none.
func (g *Gaps) Observe(now time.Time, name string, gap time.Duration, events int) (proto.EngineSpeed, proto.PlaceEventKind) {
	s := proto.EngineSpeed{Engine: name}
	gap /= time.Duration(max(1, events))
	e := g.engines[name]
	if e == nil {
		if len(g.engines) >= maxGapEngines {
			clear(g.engines)
		}
		e = &engineGaps{usual: gap}
		g.engines[name] = e
	}
	switch usual := float64(e.usual); {
	case float64(gap) < earlyFactor*usual:
		e.usual -= time.Duration(gapWeight * float64(e.usual-gap))
		return s, 0
	case float64(gap) <= lateFactor*usual:
		e.usual += time.Duration(gapWeight * float64(gap-e.usual))
		s.Gaps, s.GapSeconds = 1, gap.Seconds()
		e.lastLate = time.Time{}
		if e.slow.IsZero() {
			return s, 0
		}
		e.slow, e.reported = time.Time{}, time.Time{}
		return s, proto.PlaceRecovered
	}
	return s, e.late(now, gap, &s)
}

// late records a late event, and returns the kind of the event that is due for the broker.
func (e *engineGaps) late(now time.Time, gap time.Duration, s *proto.EngineSpeed) proto.PlaceEventKind {
	first := e.lastLate.IsZero() || now.Sub(e.lastLate) > lateInterval+gap
	e.lastLate = now
	if first {
		e.slow = time.Time{}
		return 0
	}
	if e.slow.IsZero() {
		e.slow = now
	}
	if now.Sub(e.slow) > maxSlowdownTime {
		e.usual, e.slow, e.lastLate = gap, time.Time{}, time.Time{}
		return proto.PlaceRecovered
	}
	s.SlowGaps, s.SlowSeconds = 1, gap.Seconds()
	if now.Sub(e.reported) < slowReportInterval {
		return 0
	}
	e.reported = now
	return proto.PlaceSlow
}
