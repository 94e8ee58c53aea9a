package sched

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
)

// usable reports whether the scheduler places a request.
func usable(t *testing.T, s *Scheduler, now time.Time) bool {
	t.Helper()
	r := newTestRequest(fmt.Sprint(now.UnixNano()))
	r.Admit = false
	_, err := s.Decide(now, r)
	s.forget(r.ID)
	return err == nil
}

// Datagrams repeat earlier events: a repeated loss must not eject for longer.
func TestRepeatedLossEjectsOnce(t *testing.T) {
	s := newTestScheduler()
	for range 4 {
		s.Apply(start, &proto.PlaceEvent{Kind: proto.PlaceLost, ID: "1", Engine: "d"})
	}
	if usable(t, s, start) {
		t.Fatal("not ejected")
	}
	if !usable(t, s, start.Add(300*time.Millisecond)) {
		t.Fatal("still ejected after the time for one loss")
	}
}

func TestRecentEventsAreBounded(t *testing.T) {
	var r recentEvents
	for i := range 5 * maxRecentEvents {
		e := &proto.PlaceEvent{Kind: proto.PlaceLost, ID: fmt.Sprint(i), Engine: "d"}
		if !r.add(e) || r.add(e) {
			t.Fatalf("event %d isn't new once", i)
		}
		if n := len(r.current) + len(r.previous); n > 2*maxRecentEvents {
			t.Fatalf("%d events remembered", n)
		}
	}
}
