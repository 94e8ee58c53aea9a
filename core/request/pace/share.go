package pace

import (
	"cmp"
	"slices"

	"verbenahaven.example/core/request/rank"
	"verbenahaven.example/core/version/state"
)

// fallbackShare is the part of an engine's limit that the instances of its data
// centre use together while their broker is silent. The broker may use the whole
// limit at the same time.
const fallbackShare = 0.25

// EngineShare returns the part of an engine's limit that an instance may use. The
// broker of the engine's data centre has all of it; without any instance there, the
// brokers of the other data centres have equal parts. Instances that schedule
// themselves while their broker is silent use little.
func EngineShare(serving []state.Member, self state.Member, engine state.Engine, rate float64, isBroker bool) float64 {
	centres := make(map[string]bool)
	for _, m := range serving {
		centres[m.Centre] = true
	}
	switch {
	case isBroker && self.Centre == engine.Centre:
		return 1
	case isBroker && !centres[engine.Centre]:
		return 1 / float64(max(1, len(centres)))
	case !isBroker && self.Centre == engine.Centre:
		return senderShare(serving, self.Name, engine.Centre, engine.Name, rate*fallbackShare) * fallbackShare
	}
	return 0
}

// ServerShare returns the part of a plain server's limit that an instance may use.
// As many instances as the server takes requests a second have equal parts, those of
// its data centre first.
func ServerShare(serving []state.Member, self state.Member, server state.Server, rate float64) float64 {
	return senderShare(serving, self.Name, server.Centre, server.Name, rate)
}

// senderShare returns the part of an instance among those that are chosen to use a
// rate: one for each request a second, so that what all may send at once after a
// pause is less than a second's worth.
func senderShare(serving []state.Member, self, centre, key string, rate float64) float64 {
	n := min(len(serving), max(1, int(rate)))
	if n == 0 {
		return 0
	}
	chosen := slices.Clone(serving)
	hasher := rank.NewHasher(key)
	slices.SortFunc(chosen, func(a, b state.Member) int {
		return cmp.Or(rank.Bools(a.Centre != centre, b.Centre != centre), cmp.Compare(hasher.Hash(a.Name), hasher.Hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if slices.ContainsFunc(chosen[:n], func(m state.Member) bool { return m.Name == self }) {
		return 1 / float64(n)
	}
	return 0
}
