package relay

import (
	"context"

	"verbenahaven.example/core/request/sched"
)

// deferredPriority is the engine priority of deferred calls.
const deferredPriority = 9

// enginePriority returns the priority of a generation at the engines, or a
// negative number to leave it unset. A deferred call waits behind all others,
// whatever its account. A preferred one doesn't wait behind more urgent accounts, which
// may keep the engine busy until its deadline.
func (f *inflightCall) enginePriority(d *sched.Decision) int {
	if d.Deferred {
		return deferredPriority
	}
	if f.account == nil {
		return -1
	}
	priority, found := f.account.EnginePriority()
	switch {
	case !found:
		return -1
	case d.Preferred:
		return 0
	}
	return priority
}

// accountPriority returns the priority of the caller's account for admission, the most
// urgent one if it has none.
func (f *inflightCall) accountPriority() int {
	if f.account == nil {
		return 0
	}
	priority, _ := f.account.EnginePriority()
	return priority
}

// permit returns nil if the next attempt of the call may be sent.
func (f *inflightCall) permit(ctx context.Context) error {
	err := f.pass.Permit(ctx)
	f.declined = f.declined || err != nil
	return err //nolint:wrapcheck // the error says why the call is held back
}
