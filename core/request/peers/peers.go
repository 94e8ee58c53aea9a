// Package peers decides which other entry instance gets a call that this one has no
// path to a backend server for. It answers a network that is cut between some machines
// and all backend servers, while others reach them: one machine, most of them, or all of a
// data centre.
package peers

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/request/rank"
	"verbenahaven.example/core/version/state"
)

const (
	// minFailureMemory is how long an instance that took no call isn't asked again. It
	// doubles, up to maxFailureMemory, while that instance goes on to take none.
	minFailureMemory = time.Second
	maxFailureMemory = 8 * time.Second
	// carrierMemory is how long an instance counts as one that takes calls.
	carrierMemory = 10 * time.Second
	// maxOffers bounds the instances that one call is offered to.
	maxOffers = 8
)

// Chooser chooses among the instances of a fleet.
type Chooser struct {
	name     string
	centre   string
	failures map[string]failure   // by instance
	carriers map[string]time.Time // when an instance took a call that was offered to it
}

// failure is what is known of an instance that took no call.
type failure struct {
	memory time.Duration
	until  time.Time // when it may be asked again
}

// New returns a chooser for an instance in a data centre.
func New(name, centre string) *Chooser {
	return &Chooser{name: name, centre: centre, failures: make(map[string]failure), carriers: make(map[string]time.Time)}
}

// Failed records that an instance couldn't be reached, or has no path itself.
func (c *Chooser) Failed(now time.Time, name string) {
	for other, f := range c.failures {
		if now.Sub(f.until) > maxFailureMemory {
			delete(c.failures, other)
		}
	}
	delete(c.carriers, name)
	memory := min(max(minFailureMemory, 2*c.failures[name].memory), maxFailureMemory)
	c.failures[name] = failure{memory: memory, until: now.Add(memory)}
}

// Took records that an instance took a call.
func (c *Chooser) Took(now time.Time, name string) {
	for other := range c.carriers {
		if !c.carries(now, other) {
			delete(c.carriers, other)
		}
	}
	delete(c.failures, name)
	c.carriers[name] = now
}

// carries reports whether an instance took a call lately.
func (c *Chooser) carries(now time.Time, name string) bool {
	took, found := c.carriers[name]
	return found && now.Sub(took) < carrierMemory
}

// Offers are the instances that one call was offered to.
type Offers struct {
	declined []state.Member
}

// Add adds an instance that didn't take the call.
func (o *Offers) Add(m *state.Member) { o.declined = append(o.declined, *m) }

func (o *Offers) has(name string) bool {
	return slices.ContainsFunc(o.declined, func(m state.Member) bool { return m.Name == name })
}

func (o *Offers) hasCentre(centre string) bool {
	return slices.ContainsFunc(o.declined, func(m state.Member) bool { return m.Centre == centre })
}

// Next returns the instance that gets a call next, other than those that it was offered
// to: at first one of the own data centre if any is usable. After one has declined, those
// that took a call lately come first, then those of data centres where none has declined:
// what cuts one instance may cut all of a data centre. The calls spread over the instances by
// their IDs.
func (c *Chooser) Next(now time.Time, members []state.Member, id string, o *Offers) (state.Member, bool) {
	if len(o.declined) >= maxOffers {
		return state.Member{}, false
	}
	var best state.Member
	found := false
	hasher := rank.NewHasher(id)
	for _, m := range members {
		if c.usable(now, &m) && !o.has(m.Name) && (!found || c.compare(now, &m, &best, o, hasher) > 0) {
			best, found = m, true
		}
	}
	return best, found
}

// compare orders two instances by preference, the better one last.
func (c *Chooser) compare(now time.Time, a, b *state.Member, o *Offers, h rank.Hasher) int {
	if len(o.declined) > 0 {
		if order := cmp.Or(
			rank.Bools(c.carries(now, a.Name), c.carries(now, b.Name)),
			rank.Bools(!o.hasCentre(a.Centre), !o.hasCentre(b.Centre)),
		); order != 0 {
			return order
		}
	}
	return cmp.Or(rank.Bools(a.Centre == c.centre, b.Centre == c.centre), cmp.Compare(h.Hash(a.Name), h.Hash(b.Name)))
}

func (c *Chooser) usable(now time.Time, m *state.Member) bool {
	return m.Name != c.name && m.Phase == state.PhaseServing && m.LinkAddress != "" && !now.Before(c.failures[m.Name].until)
}
