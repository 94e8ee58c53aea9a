package answer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/request/answer"
)

func event(attempt string, token, last int) engine.Event {
	e := engine.Event{Attempt: attempt, Token: token, Choices: []engine.Choice{{Text: fmt.Sprint(token, " ")}}}
	if token == last {
		e.Choices[0].FinishReason = "stop"
	}
	return e
}

// The caller gets each token once and in order, and the end only with the end
// marker, over any number of attempts whose events are lost, repeated, mixed up
// with those of another attempt or truncated.
func TestEachTokenIsDeliveredOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a answer.Assembler
		last := rapid.IntRange(0, 20).Draw(t, "last")
		var delivered []int
		for attemptNumber := 0; !a.Done(); attemptNumber++ {
			attempt := fmt.Sprint("a", attemptNumber)
			a.StartAttempt(attempt)
			faulty := attemptNumber < 10
			var held *engine.Event
			for i := a.NextToken(); i <= last; i++ {
				e := event(attempt, i, last)
				if faulty {
					switch rapid.IntRange(0, 12).Draw(t, "fault") {
					case 0:
						e = event(attempt, i-1, last)
					case 1:
						e.Attempt = "other"
					case 2:
						continue
					}
				}
				outcome := a.Add(&e)
				if outcome == answer.Deliver {
					delivered = append(delivered, e.Token)
				}
				if outcome == answer.Hold {
					held = &e
				}
				if outcome == answer.Gap {
					break
				}
			}
			if faulty && rapid.Bool().Draw(t, "cut") {
				continue
			}
			if a.End() {
				delivered = append(delivered, held.Token)
			}
		}
		want := ""
		for i := range last + 1 {
			if i >= len(delivered) || delivered[i] != i {
				t.Fatalf("token %d is missing or out of order in %v", i, delivered)
			}
			want += fmt.Sprint(i, " ")
		}
		if len(delivered) != last+1 || a.Text() != want || a.NextToken() != last+1 {
			t.Fatalf("delivered tokens %v, text %q", delivered, a.Text())
		}
	})
}
