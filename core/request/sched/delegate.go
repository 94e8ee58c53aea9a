package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/version/state"
)

const (
	// minSkip and maxSkip bound how long a broker that gave no answer isn't
	// asked: each consecutive failure doubles the time.
	minSkip = 100 * time.Millisecond
	maxSkip = 2 * time.Second
)

// Broker returns the instance that schedules the generations of a data centre,
// as all instances with the same state choose it, and false if there is none.
func Broker(live []state.Member, centre string) (state.Member, bool) {
	members := slices.DeleteFunc(slices.Clone(live), func(m state.Member) bool { return m.Centre != centre || m.Phase != state.PhaseServing })
	if len(members) == 0 {
		return state.Member{}, false
	}
	return slices.MinFunc(members, func(a, b state.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	}), true
}

// Delegate decides whether an instance asks its broker or schedules a request
// itself. A broker that gives no answer is left alone for a while.
type Delegate struct {
	broker    string // link address; empty if this instance is the broker or there is none
	skip      time.Duration
	skipUntil time.Time
}

// SetBroker sets the broker by its link address.
func (d *Delegate) SetBroker(address string) {
	if address != d.broker {
		*d = Delegate{broker: address}
	}
}

// Broker returns the broker's link address, and whether to ask it now.
func (d *Delegate) Broker(now time.Time) (string, bool) {
	return d.broker, d.broker != "" && !now.Before(d.skipUntil)
}

// Relies reports whether the broker schedules this instance's requests, so that
// the instance itself needs no loads.
func (d *Delegate) Relies() bool { return d.broker != "" && d.skip == 0 }

// Record records whether the broker answered.
func (d *Delegate) Record(now time.Time, answered bool) {
	if answered {
		d.skip = 0
		return
	}
	d.skip = min(max(2*d.skip, minSkip), maxSkip)
	d.skipUntil = now.Add(d.skip)
}
