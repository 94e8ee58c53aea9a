package leave_test

import (
	"testing"
	"time"

	"verbenahaven.example/core/request/leave"
)

func TestSlowestCallCountsForAWhile(t *testing.T) {
	s, now := leave.NewSlowest[string](), time.Unix(0, 0)
	observe := func(n int, took time.Duration) {
		for range n {
			s.Observe(now, "x", took)
		}
	}
	want := func(bound time.Duration) {
		t.Helper()
		if got, known := s.Bound(now, "x"); got != bound || !known {
			t.Fatalf("at %v: %v, known %v, want %v", now.Unix(), got, known, bound)
		}
	}
	wantUnknown := func() {
		t.Helper()
		if got, known := s.Bound(now, "x"); known {
			t.Fatalf("at %v: %v without recent calls", now.Unix(), got)
		}
	}
	wantUnknown()
	observe(20, time.Millisecond)
	observe(1, time.Second)
	want(4 * time.Second)
	now = now.Add(2 * time.Minute)
	observe(20, time.Millisecond)
	want(4 * time.Second)
	now = now.Add(2 * time.Minute)
	want(2*time.Second + 2*time.Millisecond)
	now = now.Add(time.Hour)
	wantUnknown()
}
