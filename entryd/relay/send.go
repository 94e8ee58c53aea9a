package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/request/retry"
)

// errBudget means that the retry budget allows no further arrival of a call.
var errBudget = errors.New("the retry budget is used up")

// lateSpare is the number of retries that calls which were turned away and can't be on time
// any more leave to those that can.
const lateSpare = 1

// do sends a request of the call to a backend server. Right before its first byte check is
// called, since a wait for a connection may lie before it, the send is counted in the retry
// budget, and what the server said of itself is looked at. If any forbids it, nothing is sent.
func (f *inflightCall) do(ctx context.Context, name, address string, q *httpc.Request, check func() error) (*http.Response, error) {
	var ticket *notice.Ticket
	onSend := q.OnSend
	q.OnSend = func() (err error) {
		if err = check(); err != nil {
			return err
		}
		if ticket, err = f.beginSend(name); err == nil && onSend != nil {
			err = onSend()
		}
		return err
	}
	q.OnHead = func(a *http.Response) { f.hearNotice(name, f.call.ID, ticket, a) }
	a, err := f.pool.Do(ctx, address, q)
	if err != nil {
		f.fleet.sendLost(ticket)
		return nil, err //nolint:wrapcheck // the error names the address
	}
	return a, nil
}

// beginSend counts a send that follows at once.
func (f *inflightCall) beginSend(name string) (*notice.Ticket, error) {
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	ticket, err := f.fleet.notices.Send(f.clock.Now(), name)
	if err != nil {
		f.meter.Count("notice", "kept")
		return nil, err //nolint:wrapcheck // wrapped by the pool
	}
	allowed, isRetry := f.sends().Begin(f.clock.Elapsed())
	if !allowed {
		f.fleet.notices.Lost(ticket)
		f.meter.Count("retry", "refused", "budget")
		return nil, errBudget
	}
	if isRetry {
		f.meter.Count("retry", "spent")
	}
	return ticket, nil
}

// sends returns the count of the call's sends. The caller holds the fleet's mutex.
func (f *inflightCall) sends() *retry.Sends {
	if f.sent == nil {
		f.sent = retry.NewSends(f.fleet.budget, f.targetPool.Name)
	}
	return f.sent
}

// anySent reports whether anything of the call may have reached a backend server.
func (f *inflightCall) anySent() bool {
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	return f.sends().Any()
}

// reserveSends reserves retries for the next attempt of the call, and reports whether the
// budget allows it.
func (f *inflightCall) reserveSends(withPrefill bool) bool {
	spare := 0.0
	if f.turnedAway && f.isLate() {
		spare = lateSpare
	}
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	return f.sends().Reserve(f.clock.Elapsed(), withPrefill, spare)
}

// isLate reports whether the call can't be on time any more.
func (f *inflightCall) isLate() bool {
	return f.route.LatencyTarget > 0 && f.timeToFirstEvent == 0 && f.clock.Now().Sub(f.start) > f.route.LatencyTarget
}

// mayRetry is reserveSends, and counts what the budget refuses.
func (f *inflightCall) mayRetry(withPrefill bool) bool {
	allowed := f.reserveSends(withPrefill)
	if !allowed {
		f.meter.Count("retry", "refused", "budget")
	}
	return allowed
}

// prefillAccepted records that an engine accepted a prefill of the call.
func (f *inflightCall) prefillAccepted() {
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	f.sends().Accepted()
}

// endSends returns the retries that the call had reserved and doesn't need.
func (f *inflightCall) endSends() {
	f.fleet.mutex.Lock()
	defer f.fleet.mutex.Unlock()
	f.sends().End()
}

// forbidden reports whether an exchange wasn't made because this instance forbade it: the
// server isn't at fault.
func forbidden(err error) bool {
	return isLeaving(err) || errors.Is(err, errBudget) || errors.Is(err, notice.ErrLeaving) || errors.Is(err, notice.ErrQuiet)
}

// countRequest adds a caller's request, which arrived at the given time, to a pool's retry
// budget.
func (f *Fleet) countRequest(at time.Duration, pool string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.budget.RecordRequest(at, pool)
}
