package state

import (
	"fmt"
	"testing"
	"time"
)

// When the table of strikes is full, a request that is struck again keeps what
// is known of it, and only a new one takes the place of the oldest.
func TestFullStrikeTableKeepsKnownRequests(t *testing.T) {
	s := New()
	s.now, s.index = time.Unix(1000, 0), 1
	for i := range maxStrikes {
		put(s, &s.strikes, Strike{Fingerprint: fmt.Sprintf("f%05d", i), LostEngines: []string{"e1"}, ExpiresAt: s.now.Add(time.Duration(i+1) * time.Millisecond)})
	}
	if v := s.AddStrike("f00000", "e2"); len(v.LostEngines) != 2 {
		t.Fatalf("the request that expires first was struck again and has %v", v.LostEngines)
	}
	if n := len(s.strikes.rows); n != maxStrikes {
		t.Fatalf("%d strikes after a known request, want %d", n, maxStrikes)
	}
	s.AddStrike("new", "e1")
	if _, found := s.strikes.rows["f00001"]; found || len(s.strikes.rows) != maxStrikes {
		t.Fatalf("%d strikes after a new request; the one that expires first is kept: %v", len(s.strikes.rows), found)
	}
}

// A keeper is asked again if its answer is late, so commands come twice: a loss counts once.
func TestRepeatedLossCountsOnce(t *testing.T) {
	s := New()
	for i := range 3 {
		s.BeginCommand(uint64(i+1), time.Unix(1000+int64(i), 0))
		if v := s.AddStrike("f", "e1"); len(v.LostEngines) != 1 {
			t.Errorf("%v are lost after strike %d of e1", v.LostEngines, i+1)
		}
		s.Screen(Screening{Loss: &Loss{Engine: "e1", Trial: "t", Causes: []Cause{{Name: "c"}}}})
		if lost := s.strikes.rows["c"].LostEngines; len(lost) != 1 {
			t.Errorf("%v are lost after loss %d of e1", lost, i+1)
		}
	}
}
