// Package fair tracks how often each client account is served, so that admission can
// prefer one that is served much more rarely than the others. Admission by expected
// times alone refuses all requests of an account whose requests need more time, have
// less, or come in bursts, as long as other requests keep the engines busy.
package fair

import (
	"math"
	"time"
)

const (
	// minShare is how often an account's requests are to be served, relative to all
	// requests. The bound is a quarter; the rest covers requests that are admitted
	// and then fail, and what other data centres serve.
	minShare = 0.4
	// maxPreferred is the share of the served requests that may be preferred. If
	// each account is served minShare as often as all, no more are needed: an
	// account that sends the share x of all requests needs minShare*x.
	maxPreferred = minShare
	// halfLife is the time in which the weight of a request halves: some times the
	// length of a load shift.
	halfLife = 30 * time.Second
	// minAsked is the number of an account's recent requests from which it can be
	// behind. The first requests of many small accounts would all be preferred
	// without it.
	minAsked = 4
	// maxAccounts bounds the accounts that are tracked, and forgetBelow is the number
	// of recent requests below which one is forgotten when there are more.
	maxAccounts = 4096
	forgetBelow = 0.5
)

// tally counts requests, recent ones more.
type tally struct {
	asked, served, preferred float64
	at                       time.Time
}

func (t *tally) decay(now time.Time) {
	if now.After(t.at) {
		factor := math.Exp2(-now.Sub(t.at).Seconds() / halfLife.Seconds())
		t.asked, t.served, t.preferred = t.asked*factor, t.served*factor, t.preferred*factor
		t.at = now
	}
}

// Shares tracks how often accounts are served. It isn't safe for concurrent use.
type Shares struct {
	all       tally
	accounts  map[string]*tally
	forgotten time.Time // last call of forget
}

// New returns shares without accounts.
func New() *Shares {
	return &Shares{accounts: make(map[string]*tally)}
}

// Ask counts a request of an account, "" for one without, and reports whether the
// account is behind, so that the request may be preferred.
func (s *Shares) Ask(now time.Time, account string) (behind bool) {
	s.all.decay(now)
	s.all.asked++
	t := s.tallyOf(now, account)
	if t == nil {
		return false
	}
	t.decay(now)
	t.asked++
	return t.asked >= minAsked && t.served*s.all.asked < minShare*s.all.served*t.asked &&
		s.all.preferred+1 <= maxPreferred*s.all.served
}

// Serve counts a request that Ask counted as served, preferred or not.
func (s *Shares) Serve(account string, preferred bool) {
	s.all.served++
	if preferred {
		s.all.preferred++
	}
	if t := s.accounts[account]; t != nil {
		t.served++
	}
}

// Withdraw takes back that a request was served: it ended before it began to run.
func (s *Shares) Withdraw(account string) {
	s.all.served = max(0, s.all.served-1)
	if t := s.accounts[account]; t != nil {
		t.served = max(0, t.served-1)
	}
}

// tallyOf returns the tally of an account, or nil if it isn't tracked.
func (s *Shares) tallyOf(now time.Time, account string) *tally {
	t := s.accounts[account]
	if t != nil || account == "" {
		return t
	}
	if len(s.accounts) >= maxAccounts && now.Sub(s.forgotten) > halfLife {
		s.forget(now)
	}
	if len(s.accounts) >= maxAccounts {
		return nil
	}
	t = &tally{at: now}
	s.accounts[account] = t
	return t
}

// forget removes accounts without recent requests.
func (s *Shares) forget(now time.Time) {
	s.forgotten = now
	for name, t := range s.accounts {
		if t.decay(now); t.asked < forgetBelow {
			delete(s.accounts, name)
		}
	}
}
