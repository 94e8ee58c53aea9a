package quorum

import (
	"cmp"
	"slices"
	"strings"
)

// voterSets holds one set of voter identities, or two for a joint configuration.
// A decision needs a majority of each set.
type voterSets [][]string

// voterSets returns the voters and, for a joint configuration, the outgoing
// voters.
func (c Config) voterSets() voterSets {
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

// voterNames names the voters by instance and folder; for a joint configuration the outgoing
// ones follow, of which a majority is needed too.
func (c Config) voterNames() string {
	sets := c.voterSets()
	texts := make([]string, 0, len(sets))
	for _, set := range sets {
		names := make([]string, 0, len(set))
		for _, identity := range set {
			m, _ := c.Find(identity)
			names = append(names, m.Name+"/"+identity[:min(len(identity), 4)])
		}
		texts = append(texts, strings.Join(names, " "))
	}
	return strings.Join(texts, " and ")
}

// hasMajority reports whether the condition holds for a majority of each set.
func (v voterSets) hasMajority(holds func(identity string) bool) bool {
	for _, set := range v {
		count := 0
		for _, identity := range set {
			if holds(identity) {
				count++
			}
		}
		if count <= len(set)/2 {
			return false
		}
	}
	return true
}

// majorityValue returns the highest value that a majority of each set has
// reached, and zero if a set is empty.
func majorityValue[T cmp.Ordered](v voterSets, value func(identity string) T) T {
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
		median := values[(len(values)-1)/2]
		if i == 0 || median < lowest {
			lowest = median
		}
	}
	return lowest
}
