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
