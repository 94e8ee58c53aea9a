package relay

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/view"
)

// What an instance that leaves may still take goes by the longest answer, not
// by the caller's guess: one that was guessed short was cut at the end of the
// grace.
func TestLongestAnswerCountsWhenLeaving(t *testing.T) {
	f := NewFleet("a", "z", retry.NewShared(time.Second, 0, 0), func([]string) {})
	guessed := &place.Ask{Pool: "p", Prompt: &server.Prompt{Tokens: 220, Output: 12_000, Guess: 500}}
	if d := f.lasts("p", guessed); d < 12*time.Second {
		t.Fatalf("12000 tokens may take %s", d)
	}
	short := &place.Ask{Pool: "p", Prompt: &server.Prompt{Tokens: 9000, Output: 120}}
	if d := f.lasts("p", short); d > 500*time.Millisecond {
		t.Fatalf("120 tokens may take %s", d)
	}
	for range 200 {
		f.lasted("p", short, 60*time.Millisecond)
	}
	if d := f.lasts("p", short); d < 60*time.Millisecond || d > 100*time.Millisecond {
		t.Fatalf("after answers of 60 ms one may take %s", d)
	}
}

// Reports of engines that weren't known yet are asked for again once they are.
func TestReportsAreAskedForAgainWithANewVersion(t *testing.T) {
	f := NewFleet("a", "z", retry.NewShared(time.Second, 0, 0), func([]string) {})
	now := time.Unix(1000, 0)
	f.Heard(now, proto.BeatReply{Seen: 7})
	if n := f.Seen(); n != 7 {
		t.Fatalf("seen %d after a reply with 7", n)
	}
	f.Enforce(view.New().Current())
	f.Heard(now, proto.BeatReply{Seen: 8}) // of a heartbeat that left before
	if n := f.Seen(); n != 0 {
		t.Fatalf("seen %d after a new version, want all reports again", n)
	}
	f.Heard(now, proto.BeatReply{Seen: 9})
	if n := f.Seen(); n != 9 {
		t.Fatalf("seen %d after a reply with 9", n)
	}
}
