package quorum

import (
	"cmp"
	"slices"
)

// voterSets are the identities of which a majority of each set is needed.
type voterSets [][]string

// sets returns the voters, and the outgoing ones of a joint configuration.
func (c Config) sets() voterSets {
	var voters, outgoing []string
	for _, m := range c.Members {
		if m.Voter {
			voters = append(voters, m.Identity)
		}
		if m.Outgoing {
			outgoing = append(outgoing, m.Identity)
		}
	}
	if len(outgoing) == 0 {
		return voterSets{voters}
	}
	return voterSets{voters, outgoing}
}

// majority tells whether a majority of each set fulfils a condition.
func (v voterSets) majority(holds func(identity string) bool) bool {
	for _, set := range v {
		n := 0
		for _, identity := range set {
			if holds(identity) {
				n++
			}
		}
		if n <= len(set)/2 {
			return false
		}
	}
	return true
}

// reached returns the highest value that a majority of each set has reached,
// and zero for an empty set.
func reached[T cmp.Ordered](v voterSets, value func(identity string) T) T {
	var lowest T
	values := make([]T, 0, MaxMembers+1)
	for i, set := range v {
		if len(set) == 0 {
			var zero T
			return zero
		}
		values = values[:0]
		for _, identity := range set {
			values = append(values, value(identity))
		}
		slices.Sort(values)
		got := values[(len(values)-1)/2]
		if i == 0 || got < lowest {
			lowest = got
		}
	}
	return lowest
}
