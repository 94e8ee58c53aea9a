package broker

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
)

// The scheduler must know whose losses it withdraws.
func TestEventsNameTheirSender(t *testing.T) {
	link, other, h := startPair(t)
	for range 200 {
		other.Tell(link, &proto.PlaceEvent{Kind: proto.PlaceLost, ID: "1", Engine: "e"})
		time.Sleep(5 * time.Millisecond)
		h.mutex.Lock()
		heard := len(h.events) > 0
		if heard && h.events[0].Sender != "other" {
			t.Errorf("sender %q, want other", h.events[0].Sender)
		}
		h.mutex.Unlock()
		if heard {
			return
		}
	}
	t.Fatal("nothing heard")
}
