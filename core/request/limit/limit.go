// Package limit implements distributed rate limiting of client accounts. Each
// instance leases a slice of an account's limit and enforces it locally with
// token buckets, without a round trip per request. When its lease has expired
// it falls back to a lower rate.
package limit

import (
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// burst is the capacity of a token bucket, as time at its refill rate.
	burst = 2 * time.Second
	// initialShare is the share of an even split that an instance may use for
	// an account before its first grant: other instances may hold slices of the
	// rest.
	initialShare = 0.1
	// idleTimeout is the time without requests after which an account is
	// removed.
	idleTimeout = time.Minute
)

// Demand is what an account asked for per second since the last call of
// TakeDemand, rejected requests included.
type Demand struct {
	Account     string
	TokenRate   float64 // per second
	RequestRate float64 // per second
}

// lease is this instance's slice of the limits of one account and its usage.
type lease struct {
	account       state.Account
	tokens        bucket
	requests      bucket
	granted       [2]float64 // tokens and requests per second
	expires       time.Time
	grantedBefore bool       // a grant was received before
	demand        [2]float64 // tokens and requests asked for since the last call of TakeDemand
	lastRequest   time.Time
}

// bucket is a token bucket that a request may overdraw, so that a request
// larger than the bucket isn't rejected forever.
type bucket struct {
	balance float64
	at      time.Time
}

// refill adds what has accrued since the last call; the first call fills the
// bucket.
func (b *bucket) refill(now time.Time, rate float64) {
	if b.at.IsZero() {
		b.balance = rate * burst.Seconds()
		b.at = now
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.balance = min(b.balance+rate*elapsed.Seconds(), rate*burst.Seconds())
		b.at = now
	}
}

// Limiter enforces the limits of all accounts at one instance.
type Limiter struct {
	leases      map[string]*lease
	instances   int
	demandSince time.Time
}

// New returns a limiter without leases.
func New(now time.Time) *Limiter {
	return &Limiter{leases: make(map[string]*lease), instances: 1, demandSince: now}
}

// SetInstances sets the number of instances that share the limits.
func (l *Limiter) SetInstances(n int) {
	l.instances = max(n, 1)
}

// Take reports whether the account may make a request of that many tokens, and
// if so deducts both. Otherwise it returns the time to wait before a retry.
func (l *Limiter) Take(now time.Time, a state.Account, tokens int) (bool, time.Duration) {
	if a.TokensPerSecond == 0 && a.RequestsPerSecond == 0 {
		return true, 0
	}
	e := l.leases[a.Name]
	if e == nil {
		e = &lease{}
		l.leases[a.Name] = e
	}
	e.account, e.lastRequest = a, now
	e.demand[0] += float64(tokens)
	e.demand[1]++
	rates := l.rates(now, e)
	e.tokens.refill(now, rates[0])
	e.requests.refill(now, rates[1])
	wait := max(refillWait(a.TokensPerSecond, e.tokens.balance, rates[0]), refillWait(a.RequestsPerSecond, e.requests.balance, rates[1]))
	if wait > 0 {
		return false, wait
	}
	e.tokens.balance -= float64(tokens)
	e.requests.balance--
	return true, 0
}

// refillWait returns the time until a bucket's balance is above zero, 0 if it
// is already or if there is no limit.
func refillWait(limit uint64, balance, rate float64) time.Duration {
	if limit == 0 || balance > 0 {
		return 0
	}
	if rate <= 0 {
		return time.Second
	}
	return max(time.Duration(math.Ceil(-balance/rate*1e9)), time.Millisecond)
}

// rates returns the refill rates of the buckets: the granted ones while the
// lease is valid, otherwise an even share of the limit, but no more than the
// last grant. Before the first grant they are initialShare of the even share.
// The sum over all instances then stays within the limit.
func (l *Limiter) rates(now time.Time, e *lease) [2]float64 {
	if now.Before(e.expires) {
		return e.granted
	}
	even := [2]float64{
		float64(e.account.TokensPerSecond) / float64(l.instances),
		float64(e.account.RequestsPerSecond) / float64(l.instances),
	}
	for i := range even {
		if e.grantedBefore {
			even[i] = min(even[i], e.granted[i])
			continue
		}
		even[i] *= initialShare
	}
	return even
}

// TakeDemand returns the demand of each account since the last call, and
// removes the accounts that have been idle.
func (l *Limiter) TakeDemand(now time.Time) []Demand {
	elapsed := now.Sub(l.demandSince).Seconds()
	if elapsed <= 0 {
		return nil
	}
	l.demandSince = now
	var list []Demand
	for name, e := range l.leases {
		if now.Sub(e.lastRequest) > idleTimeout && !now.Before(e.expires) {
			delete(l.leases, name)
			continue
		}
		list = append(list, Demand{Account: name, TokenRate: e.demand[0] / elapsed, RequestRate: e.demand[1] / elapsed})
		e.demand = [2]float64{}
	}
	return list
}

// ApplyGrant applies a grant that was requested at the time sent. The duration
// of its lease counts from then, so that the lease expires here before it
// expires at the granter.
func (l *Limiter) ApplyGrant(sent time.Time, account string, tokens, requests float64, duration time.Duration) {
	e := l.leases[account]
	if e == nil {
		return
	}
	e.granted, e.expires, e.grantedBefore = [2]float64{tokens, requests}, sent.Add(duration), true
}
