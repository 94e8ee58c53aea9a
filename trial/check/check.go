// Package check compares what callers, operators and stand-ins recorded in one
// run, and finds what must never happen.
package check

import (
	"fmt"
	"sort"
	"time"

	"verbenahaven.example/core/conn/stand"
)

// Rule names what was violated.
type Rule string

// Rules.
const (
	RuleWhole    Rule = "whole"    // an answer is whole and the caller's own
	RuleTold     Rule = "told"     // a call that fails without a fault at its instance says so
	RuleOnce     Rule = "once"     // a run-once call runs at most once, with one answer
	RuleNotRun   Rule = "not_run"  // what was refused as not run did not run
	RuleConflict Rule = "conflict" // no engine sees conflicting orders
	RulePlanned  Rule = "planned"  // planned changes cut nothing
	RuleRevert   Rule = "revert"   // versions never go back
	RuleForce    Rule = "force"    // an accepted version is in force everywhere in time
	RuleNumber   Rule = "number"   // one number of an operator stands for one command
	RuleFailed   Rule = "failed"   // planned stops end well, and every fault is brought about
)

// Violation is one case of something that must never happen.
type Violation struct {
	rule   Rule
	detail string
}

// Rule returns the rule that was violated.
func (v Violation) Rule() Rule { return v.rule }

// String implements fmt.Stringer.
func (v Violation) String() string {
	return string(v.rule) + ": " + v.detail
}

// Chat is one streamed completion as its caller saw it.
type Chat struct {
	Entry  string
	At     time.Time
	End    time.Time
	Model  string
	Prompt string // as the engine sees it
	Seed   int64
	Want   int // tokens
	Tokens []string
	Whole  bool
	Told   bool // an error body came
	Code   string
	Note   string
}

// Try is one attempt of a caller to have a run-once call done.
type Try struct {
	Entry  string
	At     time.Time
	Status int // 0 if no answer came
	Code   string
	Ran    string
	Body   string
}

// Filing is a run-once call with all its tries.
type Filing struct {
	Call  string // as the plain service sees it
	Tries []Try
}

// Sight is the version that an entry instance said was in force.
type Sight struct {
	Entry   string
	Life    int // counts restarts of the process
	At      time.Time
	Version uint64
}

// Accept is a command that was answered with success.
type Accept struct {
	Operator string
	Number   uint64
	Text     string
	At       time.Time
	Version  uint64
}

// Span is a time in which an instance was under a fault.
type Span struct {
	Name string
	From time.Time
	To   time.Time
}

// Record is everything that was recorded in one run.
type Record struct {
	Chats   []Chat
	Filings []Filing
	Sights  []Sight
	Accepts []Accept
	Spans   []Span
	Engines map[string][]stand.Record
	Plains  map[string][]stand.Record
	// Failures tells of planned stops that did not end well, and of faults
	// that could not be brought about.
	Failures []string
	// Force is the time in which an accepted version must be in force.
	Force time.Duration
}

// Violations checks all rules.
func (r *Record) Violations() []Violation {
	var out []Violation
	add := func(rule Rule, format string, args ...any) {
		out = append(out, Violation{rule: rule, detail: fmt.Sprintf(format, args...)})
	}
	r.checkChats(add)
	r.checkFilings(add)
	r.checkOrders(add)
	r.checkSights(add)
	r.checkForce(add)
	r.checkNumbers(add)
	for _, f := range r.Failures {
		add(RuleFailed, "%s", f)
	}
	return out
}

type report func(rule Rule, format string, args ...any)

func (r *Record) checkChats(add report) {
	for _, c := range r.Chats {
		for i, t := range c.Tokens {
			if want := stand.Token(c.Model, c.Prompt, c.Seed, i); t != want {
				add(RuleWhole, "chat %q at %s: token %d is %q, want %q", c.Prompt, c.Entry, i, t, want)
				break
			}
		}
		if c.Whole && len(c.Tokens) != c.Want {
			add(RuleWhole, "chat %q at %s ended whole after %d of %d tokens", c.Prompt, c.Entry, len(c.Tokens), c.Want)
		}
		if !c.Whole && !c.Told && !r.hit(c.Entry, c.At, c.End) {
			add(RuleTold, "chat %q at %s broke off untold after %d tokens, %s to %s: %s",
				c.Prompt, c.Entry, len(c.Tokens), c.At.Format(time.StampMilli), c.End.Format(time.StampMilli), c.Note)
		}
	}
}

// hit tells whether an instance was under a fault in a time.
func (r *Record) hit(name string, from, to time.Time) bool {
	for _, s := range r.Spans {
		if s.Name == name && s.From.Before(to) && from.Before(s.To) {
			return true
		}
	}
	return false
}

const (
	ranNot = "not_run"
	okay   = 200
)

func (r *Record) checkFilings(add report) {
	runs := make(map[string]int)
	for _, records := range r.Plains {
		for _, v := range records {
			if v.Kind == stand.RecordRun {
				runs[v.Call]++
			}
		}
	}
	for _, f := range r.Filings {
		n := runs[f.Call]
		if n > 1 {
			add(RuleOnce, "call %s ran %d times: %+v", f.Call, n, f.Tries)
		}
		r.checkTries(add, f, n)
	}
}

func (r *Record) checkTries(add report, f Filing, runs int) {
	body, answered, refused := "", false, len(f.Tries) > 0
	for _, t := range f.Tries {
		refused = refused && t.Ran == ranNot
		if t.Status != okay {
			continue
		}
		if answered && t.Body != body {
			add(RuleOnce, "call %s has two answers: %q and %q", f.Call, body, t.Body)
		}
		body, answered = t.Body, true
	}
	if answered && runs == 0 {
		add(RuleOnce, "call %s was answered but never ran", f.Call)
	}
	if refused && runs > 0 {
		add(RuleNotRun, "call %s was refused as not run but ran: %+v", f.Call, f.Tries)
	}
}

func (r *Record) checkOrders(add report) {
	for name, records := range r.Engines {
		crashed := false
		changed := make(map[uint64]bool)
		for _, v := range records {
			switch v.Kind {
			case stand.RecordCrash:
				crashed = true
			case stand.RecordRevive:
				crashed = false
			case stand.RecordOrder:
				if v.Conflict {
					add(RuleConflict, "engine %s saw order %+v in conflict", name, v.Order)
				}
			case stand.RecordChanged:
				if v.Order != nil && changed[v.Order.Number] {
					add(RuleConflict, "engine %s executed order %d twice", name, v.Order.Number)
				}
				if v.Order != nil {
					changed[v.Order.Number] = true
				}
			case stand.RecordCut:
				if !crashed {
					add(RulePlanned, "engine %s cut %s by an order at %s", name, v.Attempt, v.At.Format(time.StampMilli))
				}
			}
		}
	}
}

func (r *Record) checkSights(add report) {
	type life struct {
		entry string
		life  int
	}
	last := make(map[life]uint64)
	for _, s := range r.Sights {
		k := life{s.Entry, s.Life}
		if s.Version < last[k] {
			add(RuleRevert, "%s went back from version %d to %d", s.Entry, last[k], s.Version)
		}
		last[k] = s.Version
	}
}

// checkForce looks at each sight that comes later than Force after a command
// was accepted. An instance under a fault in that time is let off.
func (r *Record) checkForce(add report) {
	accepts := append([]Accept{}, r.Accepts...)
	sort.Slice(accepts, func(i, k int) bool { return accepts[i].At.Before(accepts[k].At) })
	for _, s := range r.Sights {
		since := s.At.Add(-r.Force)
		if r.hit(s.Entry, since, s.At) {
			continue
		}
		due := uint64(0)
		for _, a := range accepts {
			if a.At.Before(since) {
				due = max(due, a.Version)
			}
		}
		if s.Version < due {
			add(RuleForce, "%s has version %d at %s, want %d", s.Entry, s.Version, s.At.Format(time.StampMilli), due)
		}
	}
}

func (r *Record) checkNumbers(add report) {
	type number struct {
		operator string
		number   uint64
	}
	first := make(map[number]Accept)
	for _, a := range r.Accepts {
		k := number{a.Operator, a.Number}
		f, found := first[k]
		if !found {
			first[k] = a
			continue
		}
		if f.Text != a.Text {
			add(RuleNumber, "operator %s: number %d accepted for %q and %q", a.Operator, a.Number, f.Text, a.Text)
		}
		if f.Version != a.Version {
			add(RuleNumber, "operator %s: number %d answered with versions %d and %d", a.Operator, a.Number, f.Version, a.Version)
		}
	}
}
