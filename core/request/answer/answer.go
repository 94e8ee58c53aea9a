// Package answer assembles one whole answer for a caller out of the events of
// one or more attempts at engines.
package answer

import (
	"strings"

	"verbenahaven.example/core/conn/engine"
)

// Outcome is what becomes of an event.
type Outcome string

// Outcomes of events.
const (
	Deliver Outcome = "deliver"
	Hold    Outcome = "hold"    // last token: to be passed on when End reports a whole answer
	Crossed Outcome = "crossed" // belongs to another attempt
	Repeat  Outcome = "repeat"  // its token was delivered before
	Gap     Outcome = "gap"     // tokens before it are missing: the attempt is broken
	Late    Outcome = "late"    // the answer or the attempt has ended
)

// Assembly is the state of one answer.
type Assembly struct {
	attempt string
	next    int
	text    strings.Builder
	held    string
	finish  string
	done    bool
}

// Start begins an attempt. Events of earlier attempts count as crossed from
// now on, and a last token that still waits for its end mark is forgotten.
func (a *Assembly) Start(attempt string) {
	if attempt == "" {
		panic("answer: attempt without identifier")
	}
	if a.done {
		panic("answer: attempt after the end")
	}
	a.attempt, a.held, a.finish = attempt, "", ""
}

// Add takes an event that arrived on the stream of the current attempt. The
// last token is held until the end mark arrives, so that an answer whose end
// was lost can still be resumed before its last token.
func (a *Assembly) Add(e *engine.Event) Outcome {
	switch {
	case e.Attempt != a.attempt:
		return Crossed
	case a.done || a.finish != "":
		return Late
	case e.Token < a.next:
		return Repeat
	case e.Token > a.next:
		return Gap
	}
	for _, c := range e.Choices {
		if c.Finish != "" {
			a.finish = c.Finish
		}
	}
	if a.finish != "" {
		a.held = content(e)
		return Hold
	}
	a.next++
	a.text.WriteString(content(e))
	return Deliver
}

func content(e *engine.Event) string {
	if len(e.Choices) == 1 {
		return e.Choices[0].Delta.Content + e.Choices[0].Text
	}
	var b strings.Builder
	for _, c := range e.Choices {
		b.WriteString(c.Delta.Content)
		b.WriteString(c.Text)
	}
	return b.String()
}

// End takes the end mark. It reports whether the answer is whole, with the
// held token as its last: an end mark before the last token ends nothing.
func (a *Assembly) End() bool {
	if a.done || a.finish == "" {
		return a.done
	}
	a.done = true
	a.next++
	a.text.WriteString(a.held)
	return true
}

// Done reports whether the whole answer was delivered.
func (a *Assembly) Done() bool { return a.done }

// Next is the position of the next token, which is the number delivered.
func (a *Assembly) Next() int { return a.next }

// Text is the text delivered so far.
func (a *Assembly) Text() string { return a.text.String() }
