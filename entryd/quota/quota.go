// Package quota keeps an instance's slices of the accounts' limits leased.
package quota

import (
	"context"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/limit"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/guide"
)

const (
	period  = 500 * time.Millisecond
	timeout = time.Second
)

// Quota is safe for concurrent use.
type Quota struct {
	name   string
	keeper proto.Keeper
	guide  *guide.Guide
	meter  *meter.Registry
	clock  clock.Clock

	mutex   sync.Mutex
	limiter *limit.Limiter
}

// New returns a quota without slices.
func New(name string, k proto.Keeper, g *guide.Guide, m *meter.Registry, c clock.Clock) *Quota {
	q := &Quota{name: name, keeper: k, guide: g, meter: m, clock: c}
	q.limiter = limit.New(q.now())
	return q
}

// now is the elapsed time as a time: leases must run out also while the
// machine sleeps or its wall clock is set back.
func (q *Quota) now() time.Time {
	return time.Unix(0, 0).Add(q.clock.Elapsed())
}

// Take spends from an account's slice, or refuses.
func (q *Quota) Take(a state.Account, tokens int) error {
	q.mutex.Lock()
	ok, wait := q.limiter.Take(q.now(), a, tokens)
	q.mutex.Unlock()
	if ok {
		return nil
	}
	return fault.New(fault.CodeLimit, "the limit of account "+a.Name+" is used up").Retry(wait)
}

// Run renews the slices until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			q.renew(ctx)
		}
	}
}

func (q *Quota) renew(ctx context.Context) {
	sent := q.now()
	q.mutex.Lock()
	q.limiter.Instances(len(q.guide.Snapshot().Entries()))
	uses := q.limiter.Wants(sent)
	q.mutex.Unlock()
	if len(uses) == 0 {
		return
	}
	r := proto.SliceRequest{Name: q.name}
	for _, u := range uses {
		r.Wants = append(r.Wants, proto.Grant{Account: u.Account, Tokens: u.Tokens, Requests: u.Requests})
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := q.keeper.Slice(ctx, r)
	if err != nil {
		q.meter.Count("slice", "failed")
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, g := range reply.Grants {
		q.limiter.Grant(sent, g.Account, g.Tokens, g.Requests, g.Term)
	}
}
