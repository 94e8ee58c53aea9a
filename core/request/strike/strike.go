// Package strike decides what happens to a request that was aboard an engine
// when the engine was lost. Such a request may be the cause: each loss is a
// strike against its fingerprint, shared between the instances.
//
// A suspect with strikes below the limit gets another try only after the
// engine that it goes to has been recorded as a pledge. Strikes and pledges
// form one set of engines, and a try is allowed only while the set isn't
// larger than the limit. So however many instances resend a suspect at once,
// the engines that it can cost after its first strike are bounded by the
// limit. A success clears the set.
package strike

import (
	"slices"
	"strings"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	pledgeMark      = "pledge:"
	pledgeSeparator = "+"
)

// Verdict is what a request may do.
type Verdict string

// Verdicts.
const (
	Free    Verdict = "free"    // no strikes: run it
	Suspect Verdict = "suspect" // run it only after a pledge
	Trial   Verdict = "trial"   // another copy runs under a pledge: come back later
	Out     Verdict = "out"     // refused for good, until the strikes run out
)

// Pledge is the name under which an engine is recorded before a suspect goes
// to it. Of several engines that share one try only one can be lost, so they
// make one pledge.
func Pledge(engines ...string) string {
	return pledgeMark + strings.Join(engines, pledgeSeparator)
}

// Cost returns how many engines were lost, and how many more are pledged. A
// pledge of which an engine was lost counts as that loss.
func Cost(engines []string) (lost, pledged int) {
	for _, name := range engines {
		list, ok := strings.CutPrefix(name, pledgeMark)
		if !ok {
			lost++
			continue
		}
		if !slices.ContainsFunc(strings.Split(list, pledgeSeparator), func(e string) bool { return slices.Contains(engines, e) }) {
			pledged++
		}
	}
	return lost, pledged
}

// Judge tells what a request with the given record may do now.
func Judge(s state.Strike, known bool, limit int, now time.Time) Verdict {
	if !known || len(s.Engines) == 0 || !now.Before(s.Until) {
		return Free
	}
	lost, pledged := Cost(s.Engines)
	switch {
	case lost >= limit:
		return Out
	case pledged > 0 && lost+pledged >= limit:
		return Trial
	default:
		return Suspect
	}
}

// Allowed reports whether a suspect may run after its pledge was recorded
// among engines.
func Allowed(engines []string, limit int) bool {
	lost, pledged := Cost(engines)
	return lost+pledged <= limit
}

// Table is the strikes that an instance knows itself. It decides where the
// shared record can't be reached.
type Table struct {
	life    time.Duration
	limit   int
	strikes map[string]state.Strike
}

// NewTable returns an empty table whose strikes count for the given time.
func NewTable(limit int, life time.Duration) *Table {
	return &Table{limit: limit, life: life, strikes: make(map[string]state.Strike)}
}

// Add records that an engine was lost or pledged and returns all of them.
func (t *Table) Add(now time.Time, fingerprint, engine string) []string {
	t.expire(now)
	s := t.strikes[fingerprint]
	s.Fingerprint, s.Until = fingerprint, now.Add(t.life)
	if !slices.Contains(s.Engines, engine) {
		s.Engines = append(slices.Clone(s.Engines), engine)
	}
	t.strikes[fingerprint] = s
	return s.Engines
}

// Clear forgets the strikes of a request that succeeded.
func (t *Table) Clear(fingerprint string) {
	delete(t.strikes, fingerprint)
}

// Judge tells what a request may do, by the own and the shared record: the
// stricter verdict counts.
func (t *Table) Judge(now time.Time, fingerprint string, shared state.Strike, known bool) (Verdict, time.Time) {
	own, ok := t.strikes[fingerprint]
	a, b := Judge(own, ok, t.limit, now), Judge(shared, known, t.limit, now)
	if order(a) > order(b) {
		return a, own.Until
	}
	return b, shared.Until
}

func order(v Verdict) int {
	switch v {
	case Suspect:
		return 1
	case Trial:
		return 2
	case Out:
		return 3
	default:
		return 0
	}
}

func (t *Table) expire(now time.Time) {
	for name, s := range t.strikes {
		if !now.Before(s.Until) {
			delete(t.strikes, name)
		}
	}
}
