// Package answer assembles the streamed answer to one request from the events
// of one or more attempts at engines. It drops duplicates and detects gaps, so
// that the caller gets each token once and in order.
package answer

import (
	"strings"

	"verbenahaven.example/core/conn/engine"
)

// Outcome says how to handle an event.
type Outcome string

// Outcomes of events.
const (
	Deliver      Outcome = "deliver" // next token: send it to the caller
	Hold         Outcome = "hold"    // last token: send it once End reports a complete answer
	OtherAttempt Outcome = "crossed" // the event belongs to another attempt
	Duplicate    Outcome = "repeat"  // the token was delivered before
	Gap          Outcome = "gap"     // tokens before it are missing: the attempt has failed
	AfterEnd     Outcome = "late"    // the answer or the attempt has ended
)

// Assembler is the state of one answer. Its zero value is ready for use.
type Assembler struct {
	attempt      string
	next         int
	text         strings.Builder
	held         string
	finishReason string
	done         bool
}

// StartAttempt begins an attempt. From now on Add rejects events of earlier
// attempts. If the last token is held, it is dropped.
func (a *Assembler) StartAttempt(attempt string) {
	if attempt == "" {
		panic("answer: attempt has an empty identifier")
	}
	if a.done {
		panic("answer: attempt started after the answer was complete")
	}
	a.attempt, a.held, a.finishReason = attempt, "", ""
}

// Add processes an event from the stream of the current attempt. The last token
// is held until the end marker arrives, so that an answer whose end was lost
// can still be resumed before its last token.
func (a *Assembler) Add(e *engine.Event) Outcome {
	switch {
	case e.Attempt != a.attempt:
		return OtherAttempt
	case a.done || a.finishReason != "":
		return AfterEnd
	case e.Token < a.next:
		return Duplicate
	case e.Token > a.next:
		return Gap
	}
	for _, c := range e.Choices {
		if c.FinishReason != "" {
			a.finishReason = c.FinishReason
		}
	}
	if a.finishReason != "" {
		a.held = content(e)
		return Hold
	}
	a.next++
	a.text.WriteString(content(e))
	return Deliver
}

// content returns the text of all choices of an event.
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

// End processes the end marker and reports whether the answer is complete, with
// the held token as its last. An end marker before the last token is ignored.
func (a *Assembler) End() bool {
	if a.done || a.finishReason == "" {
		return a.done
	}
	a.done = true
	a.next++
	a.text.WriteString(a.held)
	return true
}

// Done reports whether the answer is complete.
func (a *Assembler) Done() bool { return a.done }

// NextToken returns the position of the next token, which is the number of
// tokens delivered.
func (a *Assembler) NextToken() int { return a.next }

// Text returns the text delivered so far.
func (a *Assembler) Text() string { return a.text.String() }
