// Package retry decides whether a failed attempt may be repeated, and when.
// Each destination has a budget that its successes fill, so that retries stay
// a share of the work that succeeds.
package retry

import "time"

// Reason tells why an attempt failed.
type Reason string

// Reasons of failed attempts.
const (
	ReasonDial    Reason = "dial"    // no connection; nothing was sent
	ReasonBroken  Reason = "broken"  // the connection broke
	ReasonSilent  Reason = "silent"  // no progress for too long
	ReasonGap     Reason = "gap"     // tokens are missing
	ReasonCut     Reason = "cut"     // the answer ended without its end mark
	ReasonStatus  Reason = "status"  // the backend server answered with a failure
	ReasonMoved   Reason = "moved"   // the backend server is leaving
	ReasonRefused Reason = "refused" // the backend server had no room
)

const (
	// startTokens is the budget of a destination before its first success,
	// and the least that successes fill it up to.
	startTokens = 3
	maxTokens   = 10
	maxDoubling = 8
)

// Policy is how retries are spent.
type Policy struct {
	share   float64
	backoff time.Duration
}

// NewPolicy allows share retries for each success, with a first wait of
// backoff.
func NewPolicy(share float64, backoff time.Duration) Policy {
	return Policy{share: share, backoff: backoff}
}

// Wait returns the wait before the attempt with the given number, from 1 for
// the first retry. The draw is a random number in [0, 1): the wait lies
// between half and the whole of the doubled backoff.
func (p Policy) Wait(number int, draw float64) time.Duration {
	if number < 1 {
		panic("retry: the first attempt doesn't wait")
	}
	if draw < 0 || draw >= 1 {
		panic("retry: draw outside [0, 1)")
	}
	full := p.backoff << min(number-1, maxDoubling)
	return full/2 + time.Duration(draw*float64(full)/2)
}

// Budgets holds the budget of each destination.
type Budgets struct {
	policy Policy
	tokens map[string]float64
}

// NewBudgets returns full starting budgets for all destinations.
func NewBudgets(p Policy) *Budgets {
	return &Budgets{policy: p, tokens: make(map[string]float64)}
}

func (b *Budgets) level(destination string) float64 {
	if n, ok := b.tokens[destination]; ok {
		return n
	}
	return startTokens
}

// Success adds to the budget of a destination.
func (b *Budgets) Success(destination string) {
	b.tokens[destination] = min(b.level(destination)+b.policy.share, maxTokens)
}

// Spend takes one retry for a request that failed at a destination. It
// reports false if the budget is used up. A request that is itself a retry of
// its sender never gets one: retries at two levels multiply.
func (b *Budgets) Spend(destination string, repeated bool) bool {
	n := b.level(destination)
	if repeated || n < 1 {
		return false
	}
	b.tokens[destination] = n - 1
	return true
}
