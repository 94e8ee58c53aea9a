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
		e.Choices[0].Finish = "stop"
	}
	return e
}

// Over any number of attempts whose events are lost, repeated, crossed and
// cut, the caller gets each token once and in order, and the end only with
// the end mark.
func TestOneWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a answer.Assembly
		last := rapid.IntRange(0, 20).Draw(t, "last")
		var got []int
		for n := 0; !a.Done(); n++ {
			attempt := fmt.Sprint("a", n)
			a.Start(attempt)
			faulty := n < 10
			var held *engine.Event
			for i := a.Next(); i <= last; i++ {
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
					got = append(got, e.Token)
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
				got = append(got, held.Token)
			}
		}
		want := ""
		for i := range last + 1 {
			if i >= len(got) || got[i] != i {
				t.Fatalf("token %d of %v", i, got)
			}
			want += fmt.Sprint(i, " ")
		}
		if len(got) != last+1 || a.Text() != want || a.Next() != last+1 {
			t.Fatalf("got %v, text %q", got, a.Text())
		}
	})
}
