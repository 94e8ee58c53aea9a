// Package quota enforces the rate limits of client accounts on one instance. It
// leases a slice of each account's limit from the keepers and renews it.
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
	"verbenahaven.example/entryd/picker"
)

const (
	renewPeriod  = 500 * time.Millisecond
	renewTimeout = time.Second
)

// Quota holds the leased slices. It is safe for concurrent use.
type Quota struct {
	name     string
	keeper   proto.Keeper
	balancer *picker.Balancer
	meter    *meter.Registry
	clock    clock.Clock

	mutex   sync.Mutex
	limiter *limit.Limiter
}

// New returns a quota without slices.
func New(name string, k proto.Keeper, g *picker.Balancer, m *meter.Registry, c clock.Clock) *Quota {
	q := &Quota{name: name, keeper: k, balancer: g, meter: m, clock: c}
	q.limiter = limit.New(q.elapsedTime())
	return q
}

// elapsedTime returns the elapsed time as a time.Time: leases must also expire
// while the machine sleeps or after its wall clock is set back.
func (q *Quota) elapsedTime() time.Time {
	return time.Unix(0, 0).Add(q.clock.Elapsed())
}

// Take consumes one request and the given tokens from an account's slice. It
// returns an error with the time to retry after if the slice is used up.
func (q *Quota) Take(a state.Account, tokens int) error {
	q.mutex.Lock()
	ok, wait := q.limiter.Take(q.elapsedTime(), a, tokens)
	q.mutex.Unlock()
	if ok {
		return nil
	}
	return fault.New(fault.CodeLimit, "the limit of account "+a.Name+" is used up").RetryAfter(wait)
}

// Run renews the leased slices until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	t := time.NewTicker(renewPeriod)
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
	sent := q.elapsedTime()
	q.mutex.Lock()
	q.limiter.SetInstances(len(q.balancer.Snapshot().LiveEntries()))
	demands := q.limiter.TakeDemand(sent)
	q.mutex.Unlock()
	if len(demands) == 0 {
		return
	}
	r := proto.GrantRequest{Name: q.name}
	for _, u := range demands {
		r.Demands = append(r.Demands, proto.Grant{Account: u.Account, TokenRate: u.TokenRate, RequestRate: u.RequestRate})
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := q.keeper.RequestGrants(ctx, r)
	if err != nil {
		q.meter.Count("slice", "failed")
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, g := range reply.Grants {
		q.limiter.ApplyGrant(sent, g.Account, g.TokenRate, g.RequestRate, g.TTL)
	}
}
