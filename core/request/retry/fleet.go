package retry

import (
	"slices"
	"time"
)

// fleetView is what an instance knows of the number of instances that share the slack.
//
// An instance uses slack only if it has been a member for two windows, has heard so at least
// every half window of them and in the last quarter window, and then a part by the most members
// that it heard of in that time. So all instances that use slack in one window have heard
// of each other before it, and an instance that restarts uses none while what it used
// before still counts.
type fleetView struct {
	member  uint64 // version of the instance's own entry in the list; 0 if it isn't there
	since   time.Duration
	last    time.Duration
	members []memberCount
}

type memberCount struct {
	at    time.Duration
	count int
}

// ObserveFleet records that the instance has heard of the number of instances, of which it
// is one. member changes when the instance leaves the list or enters it again; 0 means that
// it isn't in it.
func (s *SharedBudget) ObserveFleet(now time.Duration, member uint64, instances int) {
	f := &s.fleet
	if member == 0 || instances <= 0 {
		*f = fleetView{}
		return
	}
	if f.member != member || now-f.last > s.window/2 {
		*f = fleetView{member: member, since: now}
	}
	f.last = now
	if n := len(f.members); n == 0 || f.members[n-1].count != instances {
		f.members = append(f.members, memberCount{now, instances})
	}
	// An entry holds until the next one.
	for len(f.members) > 1 && now-f.members[1].at > 2*s.window {
		f.members = slices.Delete(f.members, 0, 1)
	}
}

// instances returns the number of instances that share the slack, or 0 if that isn't known
// well enough.
func (f *fleetView) instances(now, window time.Duration) int {
	if f.member == 0 || now-f.last > window/4 || now-f.since < 2*window {
		return 0
	}
	most := slices.MaxFunc(f.members, func(x, y memberCount) int { return x.count - y.count })
	return most.count
}
