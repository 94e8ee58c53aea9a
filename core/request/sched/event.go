package sched

import (
	"time"

	"verbenahaven.example/core/conn/proto"
)

// maxRecentEvents is the number of events in a generation of those remembered.
const maxRecentEvents = 1024

// eventKey identifies an event of an engine.
type eventKey struct {
	kind               proto.PlaceEventKind
	id, engine, sender string
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
	key := eventKey{e.Kind, e.ID, e.Engine, e.Sender}
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

// applyEngineEvent records what an instance says of an engine's health.
func (s *Scheduler) applyEngineEvent(now time.Time, e *proto.PlaceEvent) {
	if !s.recent.add(e) {
		return
	}
	switch e.Kind {
	case proto.PlaceLost:
		s.placer.RecordLoss(now, e.Engine, e.Sender)
	case proto.PlaceReachable:
		s.placer.WithdrawLoss(e.Engine, e.Sender)
	case proto.PlaceSlow, proto.PlaceRecovered:
		s.placer.RecordSlowdown(now, e.Engine, e.Kind == proto.PlaceSlow)
	case proto.PlaceFailed:
		s.placer.RecordAnswer(now, e.Engine, false)
	case proto.PlaceRejected:
		s.placer.RecordRejection(now, e.Engine)
	}
}
