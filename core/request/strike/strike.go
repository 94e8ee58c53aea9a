// Package strike contains requests that may crash engines (poison requests). A
// request that was running on an engine when the engine was lost may be the
// cause: each loss is a strike against the request's fingerprint. The instances
// share the strikes.
//
// A suspect is a request with fewer strikes than the limit. It is retried only
// after the target engine has been recorded in a pledge. Strikes and pledges
// form one set of engines, and a retry is allowed only while the set isn't
// larger than the limit. So the number of engines that a suspect can crash
// after its first strike is bounded by the limit, however many instances resend
// it concurrently. A success clears the set.
package strike

import (
	"slices"
	"strings"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	pledgePrefix    = "pledge:"
	pledgeSeparator = "+"
)

// Verdict is the decision on whether a request may run.
type Verdict string

// Verdicts on a request.
const (
	Unrestricted Verdict = "free"    // no strikes: the request may run
	Suspect      Verdict = "suspect" // the request may run after a pledge was recorded
	RetryLater   Verdict = "trial"   // another copy runs under a pledge: retry later
	Blocked      Verdict = "out"     // the request is rejected until the strikes expire
)

// Pledge returns the name under which the engines of one attempt are recorded
// before a suspect is sent to them. An attempt that uses several engines can
// lose only one of them, so they share one pledge.
func Pledge(engines ...string) string {
	return pledgePrefix + strings.Join(engines, pledgeSeparator)
}

// Count returns the number of engines that were lost and the number of pledges
// that are still open. A pledge with a lost engine counts as that loss only.
func Count(engines []string) (lost, open int) {
	for _, name := range engines {
		list, ok := strings.CutPrefix(name, pledgePrefix)
		if !ok {
			lost++
			continue
		}
		if !slices.ContainsFunc(strings.Split(list, pledgeSeparator), func(e string) bool { return slices.Contains(engines, e) }) {
			open++
		}
	}
	return lost, open
}

// Evaluate returns the verdict on a request with the given record. Known is
// false if there is no record.
func Evaluate(record state.Strike, known bool, limit int, now time.Time) Verdict {
	if !known || len(record.LostEngines) == 0 || !now.Before(record.ExpiresAt) {
		return Unrestricted
	}
	lost, open := Count(record.LostEngines)
	switch {
	case lost >= limit:
		return Blocked
	case open > 0 && lost+open >= limit:
		return RetryLater
	default:
		return Suspect
	}
}

// Allowed reports whether a suspect may run, given the recorded engines with
// its own pledge among them.
func Allowed(engines []string, limit int) bool {
	lost, open := Count(engines)
	return lost+open <= limit
}

// Table holds the strikes that this instance recorded itself. They apply even
// while the shared record is unreachable.
type Table struct {
	ttl     time.Duration
	limit   int
	strikes map[string]state.Strike
}

// NewTable returns an empty table whose strikes expire after ttl.
func NewTable(limit int, ttl time.Duration) *Table {
	return &Table{limit: limit, ttl: ttl, strikes: make(map[string]state.Strike)}
}

// Add records a lost engine or a pledge and returns all recorded for the
// request.
func (t *Table) Add(now time.Time, fingerprint, engine string) []string {
	t.expire(now)
	s := t.strikes[fingerprint]
	s.Fingerprint, s.ExpiresAt = fingerprint, now.Add(t.ttl)
	if !slices.Contains(s.LostEngines, engine) {
		s.LostEngines = append(slices.Clone(s.LostEngines), engine)
	}
	t.strikes[fingerprint] = s
	return s.LostEngines
}

// Engines returns the lost engines and the pledges recorded for a request.
func (t *Table) Engines(now time.Time, fingerprint string) []string {
	t.expire(now)
	return t.strikes[fingerprint].LostEngines
}

// Clear removes the strikes of a request that succeeded.
func (t *Table) Clear(fingerprint string) {
	delete(t.strikes, fingerprint)
}

// Evaluate returns the stricter of the verdicts by the local and by the shared
// record, and the time until which it holds.
func (t *Table) Evaluate(now time.Time, fingerprint string, shared state.Strike, known bool) (Verdict, time.Time) {
	local, localKnown := t.strikes[fingerprint]
	localVerdict, sharedVerdict := Evaluate(local, localKnown, t.limit, now), Evaluate(shared, known, t.limit, now)
	if severity(localVerdict) > severity(sharedVerdict) {
		return localVerdict, local.ExpiresAt
	}
	return sharedVerdict, shared.ExpiresAt
}

// severity returns the rank of a verdict; stricter ones rank higher.
func severity(v Verdict) int {
	switch v {
	case Suspect:
		return 1
	case RetryLater:
		return 2
	case Blocked:
		return 3
	default:
		return 0
	}
}

// expire removes the expired strikes.
func (t *Table) expire(now time.Time) {
	for fingerprint, s := range t.strikes {
		if !now.Before(s.ExpiresAt) {
			delete(t.strikes, fingerprint)
		}
	}
}
