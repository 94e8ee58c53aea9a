// Package limit holds the limits of client accounts. The instances share an
// account's limits by leased slices: an instance spends its slice without
// asking anyone, and falls back to a floor when its lease has run out.
package limit

import (
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// burst is how much of a slice may be spent at once.
	burst = 2 * time.Second
	// starter is the share of an even split that an instance may use for an
	// account before its first grant: others may hold the rest.
	starter = 0.1
	// idle is the time without requests after which an account is forgotten.
	idle = time.Minute
)

// Use is what an account spent since it was last asked for.
type Use struct {
	Account  string
	Tokens   float64 // a second
	Requests float64 // a second
}

// slice is one account at this instance.
type slice struct {
	account  state.Account
	tokens   level
	requests level
	granted  [2]float64 // tokens and requests a second
	until    time.Time
	once     bool // a grant came before
	used     [2]float64
	last     time.Time
}

// level is a token bucket that a request may overdraw, so that one larger
// than the burst isn't refused for ever.
type level struct {
	amount float64
	at     time.Time
}

func (l *level) refill(now time.Time, rate float64) {
	if l.at.IsZero() {
		l.amount = rate * burst.Seconds()
		l.at = now
		return
	}
	if passed := now.Sub(l.at); passed > 0 {
		l.amount = min(l.amount+rate*passed.Seconds(), rate*burst.Seconds())
		l.at = now
	}
}

// Limiter holds the slices of one instance.
type Limiter struct {
	slices    map[string]*slice
	instances int
	since     time.Time
}

// New returns a limiter without slices.
func New(now time.Time) *Limiter {
	return &Limiter{slices: make(map[string]*slice), instances: 1, since: now}
}

// Instances tells how many instances share the limits.
func (l *Limiter) Instances(n int) {
	l.instances = max(n, 1)
}

// Take spends tokens and one request of an account. If the slice is used up
// it returns false and when to come back.
func (l *Limiter) Take(now time.Time, a state.Account, tokens int) (bool, time.Duration) {
	if a.Tokens == 0 && a.Requests == 0 {
		return true, 0
	}
	s := l.slices[a.Name]
	if s == nil {
		s = &slice{}
		l.slices[a.Name] = s
	}
	s.account, s.last = a, now
	s.used[0] += float64(tokens)
	s.used[1]++
	rates := l.rates(now, s)
	s.tokens.refill(now, rates[0])
	s.requests.refill(now, rates[1])
	wait := max(debt(a.Tokens, s.tokens.amount, rates[0]), debt(a.Requests, s.requests.amount, rates[1]))
	if wait > 0 {
		return false, wait
	}
	s.tokens.amount -= float64(tokens)
	s.requests.amount--
	return true, 0
}

// debt returns when a bucket will be above zero again.
func debt(limit uint64, amount, rate float64) time.Duration {
	if limit == 0 || amount > 0 {
		return 0
	}
	if rate <= 0 {
		return time.Second
	}
	return max(time.Duration(math.Ceil(-amount/rate*1e9)), time.Millisecond)
}

// rates returns what the instance may spend now. Without a valid grant it is
// an even share, and never more than the last grant: the sum over all
// instances then stays within the limit.
func (l *Limiter) rates(now time.Time, s *slice) [2]float64 {
	if now.Before(s.until) {
		return s.granted
	}
	even := [2]float64{
		float64(s.account.Tokens) / float64(l.instances),
		float64(s.account.Requests) / float64(l.instances),
	}
	for i := range even {
		if s.once {
			even[i] = min(even[i], s.granted[i])
			continue
		}
		even[i] *= starter
	}
	return even
}

// Wants returns the use of each account since the last call, and forgets the
// accounts that have been idle.
func (l *Limiter) Wants(now time.Time) []Use {
	passed := now.Sub(l.since).Seconds()
	if passed <= 0 {
		return nil
	}
	l.since = now
	var list []Use
	for name, s := range l.slices {
		if now.Sub(s.last) > idle && !now.Before(s.until) {
			delete(l.slices, name)
			continue
		}
		list = append(list, Use{Account: name, Tokens: s.used[0] / passed, Requests: s.used[1] / passed})
		s.used = [2]float64{}
	}
	return list
}

// Grant takes a slice that was asked for at the time sent. Its term counts
// from there, so that it ends here before it ends at the granter.
func (l *Limiter) Grant(sent time.Time, account string, tokens, requests float64, term time.Duration) {
	s := l.slices[account]
	if s == nil {
		return
	}
	s.granted, s.until, s.once = [2]float64{tokens, requests}, sent.Add(term), true
}
