// Package check verifies the invariants of the system after a soak run, from
// what callers, operators and simulated backend servers recorded.
package check

import (
	"fmt"
	"sort"
	"time"

	"verbenahaven.example/core/conn/inject"
)

// Rule names an invariant.
type Rule string

// Invariants that a run must not violate.
const (
	RuleAnswer        Rule = "whole"    // an answer has all tokens, and none of another request
	RuleErrorReported Rule = "told"     // a call that fails without a fault at its instance gets an error body
	RuleAtMostOnce    Rule = "once"     // a run-once call runs at most once, with one answer
	RuleNotRun        Rule = "not_run"  // a call refused as not_run did not run
	RuleConflict      Rule = "conflict" // an engine gets no conflicting orders and executes none twice
	RulePlannedChange Rule = "planned"  // a planned change cuts no request
	RuleVersionOrder  Rule = "revert"   // the version of an instance never decreases while it runs
	RulePropagation   Rule = "force"    // an accepted version is current on all entry instances in time
	RuleCommandNumber Rule = "number"   // an operator's command number stands for one command
	RuleOperation     Rule = "failed"   // planned stops succeed, and every fault is injected and cleared
)

// Violation is one violation of an invariant.
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

// Chat is one streamed completion as its caller received it.
type Chat struct {
	Entry         string
	At            time.Time
	End           time.Time
	Model         string
	Prompt        string // as the engine receives it
	Seed          int64
	Want          int // requested tokens
	Tokens        []string
	Complete      bool
	ErrorReported bool // the caller got an error body
	Code          string
	Note          string
}

// Attempt is one attempt of a caller at a run-once call.
type Attempt struct {
	Entry     string
	At        time.Time
	Status    int // HTTP status, 0 if no answer came
	Code      string
	Execution string
	Body      string
}

// OnceCall is a run-once call with all its attempts.
type OnceCall struct {
	CallID   string // identifier that the plain service receives
	Attempts []Attempt
}

// VersionReading is a reading of the current version on an entry instance.
type VersionReading struct {
	Entry    string
	Restarts int // number of restarts of the process so far
	At       time.Time
	Version  uint64
}

// AcceptedCommand is an operator command that was accepted.
type AcceptedCommand struct {
	Operator string
	Number   uint64
	Text     string
	At       time.Time
	Version  uint64
}

// FaultSpan is a period in which an instance was under a fault or recovering
// from it.
type FaultSpan struct {
	Name string
	From time.Time
	To   time.Time
}

// Record is everything that was recorded in one run.
type Record struct {
	Chats        []Chat
	OnceCalls    []OnceCall
	Readings     []VersionReading
	Commands     []AcceptedCommand
	FaultSpans   []FaultSpan
	Engines      map[string][]inject.Record
	PlainServers map[string][]inject.Record
	// Failures lists planned stops that failed and faults that could not be
	// injected or cleared.
	Failures []string
	// PropagationLimit is the time within which an accepted version must be the
	// current one on all entry instances.
	PropagationLimit time.Duration
}

// Violations checks all rules and returns the violations.
func (r *Record) Violations() []Violation {
	var out []Violation
	add := func(rule Rule, format string, args ...any) {
		out = append(out, Violation{rule: rule, detail: fmt.Sprintf(format, args...)})
	}
	r.checkChats(add)
	r.checkOnceCalls(add)
	r.checkOrders(add)
	r.checkVersionOrder(add)
	r.checkPropagation(add)
	r.checkCommandNumbers(add)
	for _, f := range r.Failures {
		add(RuleOperation, "%s", f)
	}
	return out
}

type addFunc func(rule Rule, format string, args ...any)

func (r *Record) checkChats(add addFunc) {
	for _, c := range r.Chats {
		for i, t := range c.Tokens {
			if want := inject.Token(c.Model, c.Prompt, c.Seed, i); t != want {
				add(RuleAnswer, "chat %q at %s: token %d is %q, want %q", c.Prompt, c.Entry, i, t, want)
				break
			}
		}
		if c.Complete && len(c.Tokens) != c.Want {
			add(RuleAnswer, "chat %q at %s ended as complete after %d of %d tokens", c.Prompt, c.Entry, len(c.Tokens), c.Want)
		}
		if !c.Complete && !c.ErrorReported && !r.faultedDuring(c.Entry, c.At, c.End) {
			add(RuleErrorReported, "chat %q at %s ended early without an error body after %d tokens, %s to %s: %s",
				c.Prompt, c.Entry, len(c.Tokens), c.At.Format(time.StampMilli), c.End.Format(time.StampMilli), c.Note)
		}
	}
}

// faultedDuring reports whether an instance was under a fault at any time
// between from and to.
func (r *Record) faultedDuring(name string, from, to time.Time) bool {
	for _, s := range r.FaultSpans {
		if s.Name == name && s.From.Before(to) && from.Before(s.To) {
			return true
		}
	}
	return false
}

const (
	notRun   = "not_run"
	statusOK = 200
)

func (r *Record) checkOnceCalls(add addFunc) {
	runs := make(map[string]int)
	for _, records := range r.PlainServers {
		for _, v := range records {
			if v.Kind == inject.RecordExecuted {
				runs[v.Call]++
			}
		}
	}
	for _, c := range r.OnceCalls {
		n := runs[c.CallID]
		if n > 1 {
			add(RuleAtMostOnce, "call %s ran %d times: %+v", c.CallID, n, c.Attempts)
		}
		r.checkAttempts(add, c, n)
	}
}

func (r *Record) checkAttempts(add addFunc, c OnceCall, runs int) {
	body, answered, refused := "", false, len(c.Attempts) > 0
	for _, t := range c.Attempts {
		refused = refused && t.Execution == notRun
		if t.Status != statusOK {
			continue
		}
		if answered && t.Body != body {
			add(RuleAtMostOnce, "call %s has two answers: %q and %q", c.CallID, body, t.Body)
		}
		body, answered = t.Body, true
	}
	if answered && runs == 0 {
		add(RuleAtMostOnce, "call %s was answered but never ran", c.CallID)
	}
	if refused && runs > 0 {
		add(RuleNotRun, "call %s was refused as not run but ran: %+v", c.CallID, c.Attempts)
	}
}

func (r *Record) checkOrders(add addFunc) {
	for name, records := range r.Engines {
		crashed := false
		applied := make(map[uint64]bool)
		for _, v := range records {
			switch v.Kind {
			case inject.RecordCrash:
				crashed = true
			case inject.RecordRestart:
				crashed = false
			case inject.RecordOrder:
				if v.Conflict {
					add(RuleConflict, "engine %s got conflicting order %+v", name, v.Order)
				}
			case inject.RecordApplied:
				if v.Order != nil && applied[v.Order.Number] {
					add(RuleConflict, "engine %s executed order %d twice", name, v.Order.Number)
				}
				if v.Order != nil {
					applied[v.Order.Number] = true
				}
			case inject.RecordAborted:
				if !crashed {
					add(RulePlannedChange, "engine %s aborted attempt %s because of an order at %s", name, v.Attempt, v.At.Format(time.StampMilli))
				}
			}
		}
	}
}

func (r *Record) checkVersionOrder(add addFunc) {
	type processRun struct {
		entry    string
		restarts int
	}
	last := make(map[processRun]uint64)
	for _, s := range r.Readings {
		k := processRun{s.Entry, s.Restarts}
		if s.Version < last[k] {
			add(RuleVersionOrder, "%s reverted from version %d to %d", s.Entry, last[k], s.Version)
		}
		last[k] = s.Version
	}
}

// checkPropagation checks that each reading has at least the versions accepted
// more than PropagationLimit before it. It skips an instance that was under a
// fault in that time.
func (r *Record) checkPropagation(add addFunc) {
	accepts := append([]AcceptedCommand{}, r.Commands...)
	sort.Slice(accepts, func(i, k int) bool { return accepts[i].At.Before(accepts[k].At) })
	for _, s := range r.Readings {
		since := s.At.Add(-r.PropagationLimit)
		if r.faultedDuring(s.Entry, since, s.At) {
			continue
		}
		want := uint64(0)
		for _, a := range accepts {
			if a.At.Before(since) {
				want = max(want, a.Version)
			}
		}
		if s.Version < want {
			add(RulePropagation, "%s has version %d at %s, want %d", s.Entry, s.Version, s.At.Format(time.StampMilli), want)
		}
	}
}

func (r *Record) checkCommandNumbers(add addFunc) {
	type number struct {
		operator string
		number   uint64
	}
	first := make(map[number]AcceptedCommand)
	for _, a := range r.Commands {
		k := number{a.Operator, a.Number}
		f, found := first[k]
		if !found {
			first[k] = a
			continue
		}
		if f.Text != a.Text {
			add(RuleCommandNumber, "operator %s: number %d accepted for %q and %q", a.Operator, a.Number, f.Text, a.Text)
		}
		if f.Version != a.Version {
			add(RuleCommandNumber, "operator %s: number %d answered with versions %d and %d", a.Operator, a.Number, f.Version, a.Version)
		}
	}
}
