package relay

import "verbenahaven.example/core/request/sched"

// deferredPriority is the engine priority of deferred calls.
const deferredPriority = 9

// enginePriority returns the priority of a generation at the engines, or a
// negative number to leave it unset.
func enginePriority(d *sched.Decision) int {
	if d.Deferred {
		return deferredPriority
	}
	return -1
}
