package relay

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/retry"
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
