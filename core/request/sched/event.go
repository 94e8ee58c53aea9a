package sched

import (
	"time"

	"verbenahaven.example/core/conn/proto"
)

// maxRecentEvents is the number of events in a generation of those remembered.
const maxRecentEvents = 1024

// eventKey identifies an event of an engine.
type eventKey struct {
	kind       proto.PlaceEventKind
	id, engine string
}

// recentEvents remembers the latest events. The datagrams that carry events
// repeat earlier ones, and those of engines must count only once.
type recentEvents struct {
	current, previous map[eventKey]struct{}
}

// add remembers an event, and reports whether it is new. One without an ID is
// never sent again.
func (r *recentEvents) add(e *proto.PlaceEvent) bool {
	if e.ID == "" {
		return true
	}
	key := eventKey{e.Kind, e.ID, e.Engine}
	if _, found := r.current[key]; found {
		return false
	}
	if _, found := r.previous[key]; found {
		return false
	}
	if r.current == nil || len(r.current) >= maxRecentEvents {
		r.previous, r.current = r.current, make(map[eventKey]struct{})
	}
	r.current[key] = struct{}{}
	return true
}

// applyEngineEvent records a failure or loss of an engine.
func (s *Scheduler) applyEngineEvent(now time.Time, e *proto.PlaceEvent) {
	switch {
	case !s.recent.add(e):
	case e.Kind == proto.PlaceLost:
		s.placer.RecordLoss(now, e.Engine)
	default:
		s.placer.RecordAnswer(now, e.Engine, false)
	}
}
