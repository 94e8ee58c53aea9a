package broker

import (
	"strings"
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

// An ID that a caller chose and that no message can hold hides no other stream's origin.
func TestOddOriginHidesNoOthers(t *testing.T) {
	link, other, h := startPair(t)
	for good, odd := range map[string]string{"1": "\xff", "2": strings.Repeat("x", maxTextBytes+1)} {
		other.Share(link, []proto.StreamOrigin{{ID: odd, Pool: "p"}, {ID: good, Pool: "p"}})
		known := false
		for range 100 {
			if _, known = h.Origin(good); known {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if !known {
			t.Errorf("%.3q: the other origin isn't known", odd)
		}
	}
}
