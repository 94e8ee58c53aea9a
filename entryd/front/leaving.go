package front

import (
	"time"

	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/entryd/fault"
)

const (
	// unknownStep stands for the time of a decode step at engines that have reported none.
	unknownStep = 100 * time.Millisecond
	// unbounded stands for the time of an answer that nothing limits.
	unbounded = 24 * time.Hour
)

// BeginShutdown marks the instance as leaving in its answers to questions for addresses
// and health. Calls that might still run at cutAt are refused from now on.
func (f *API) BeginShutdown(cutAt time.Time) {
	f.cutAt.Store(&cutAt)
}

func (f *API) isLeaving() bool { return f.cutAt.Load() != nil }

// checkLeaving returns a refusal if a call might still run when the instance cuts its calls.
func (f *API) checkLeaving(c leave.Call) error {
	cutAt := f.cutAt.Load()
	if cutAt == nil || c.EndsWithin(cutAt.Sub(f.clock.Now())) {
		return nil
	}
	f.meter.Count("leaving", "refused")
	return fault.New(fault.CodeStopping, "the instance is shutting down before the answer could end").
		Execution(once.NotExecuted).RetryAfter(leave.RetryAfter(f.settings.Name, f.balancer.Snapshot().LiveEntries()))
}
