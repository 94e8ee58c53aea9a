// Package retry implements retry budgets and exponential backoff. Each
// destination has a token bucket that its successes refill, which bounds
// retries to a ratio of the requests that succeed. A SharedBudget bounds the
// retries of all instances together in a sliding window.
package retry

import "time"

// Reason is the cause of a failed attempt.
type Reason string

// Reasons for failed attempts.
const (
	ReasonDial          Reason = "dial"    // could not connect; nothing was sent
	ReasonConnLost      Reason = "broken"  // the connection broke
	ReasonStalled       Reason = "silent"  // no progress within the timeout
	ReasonMissingTokens Reason = "gap"     // the token sequence has a gap
	ReasonTruncated     Reason = "cut"     // the answer ended without its end marker
	ReasonErrorStatus   Reason = "status"  // the backend server returned an error status
	ReasonDraining      Reason = "moved"   // the backend server is draining
	ReasonOverloaded    Reason = "refused" // the backend server had no capacity
)

const (
	// initialTokens is the budget of a destination before its first success.
	initialTokens = 3
	// maxTokens is the limit up to which successes fill a budget.
	maxTokens = 10
	// maxDoublings limits the exponential backoff.
	maxDoublings = 8
)

// Policy sets the retry ratio and the backoff.
type Policy struct {
	ratio       float64
	baseBackoff time.Duration
}

// NewPolicy allows ratio retries per success. The first retry waits at most
// baseBackoff.
func NewPolicy(ratio float64, baseBackoff time.Duration) Policy {
	return Policy{ratio: ratio, baseBackoff: baseBackoff}
}

// Backoff returns the jittered backoff before a retry; the first retry has
// retryNumber 1. The backoff doubles with each retry, and random, a number in
// [0, 1), selects a wait between half of it and all of it.
func (p Policy) Backoff(retryNumber int, random float64) time.Duration {
	if retryNumber < 1 {
		panic("retry: retry number below 1: the first attempt has no backoff")
	}
	if random < 0 || random >= 1 {
		panic("retry: random number outside [0, 1)")
	}
	full := p.baseBackoff << min(retryNumber-1, maxDoublings)
	return full/2 + time.Duration(random*float64(full)/2)
}

// Budgets holds the retry budget of each destination.
type Budgets struct {
	policy Policy
	tokens map[string]float64
}

// NewBudgets returns budgets at their start level for all destinations.
func NewBudgets(p Policy) *Budgets {
	return &Budgets{policy: p, tokens: make(map[string]float64)}
}

// available returns the number of retries that a destination's budget allows.
func (b *Budgets) available(destination string) float64 {
	if n, ok := b.tokens[destination]; ok {
		return n
	}
	return initialTokens
}

// RecordSuccess credits a successful request to the budget of its destination.
func (b *Budgets) RecordSuccess(destination string) {
	b.tokens[destination] = min(b.available(destination)+b.policy.ratio, maxTokens)
}

// TryRetry reports whether a request that failed at a destination may be
// retried, and if so deducts the retry from the budget. A request that its
// sender marks as a retry is never retried: retries at two levels multiply.
func (b *Budgets) TryRetry(destination string, isRetry bool) bool {
	n := b.available(destination)
	if isRetry || n < 1 {
		return false
	}
	b.tokens[destination] = n - 1
	return true
}

// ReturnRetry credits a retry that was deducted but not needed.
func (b *Budgets) ReturnRetry(destination string) {
	b.tokens[destination] = min(b.available(destination)+1, maxTokens)
}
