package admit

import (
	"math"
	"time"
)

const (
	// gapWeight is the weight of a new observation, one in this many.
	gapWeight = 16
	// gapSpread is how many mean deviations the margin lies above the mean.
	gapSpread = 1
	// gapHalf is the time in which a margin that nothing renews halves: were
	// it kept, one that refuses everything could never be corrected.
	gapHalf = 2 * time.Second
	// gapShare bounds the margin, as a share of the time that is left.
	gapShare = 0.5
)

// Gap learns how much later the first tokens come than was expected when
// their requests were admitted: load reports lag, and other instances send to
// the same engines.
type Gap struct {
	mean   float64 // seconds
	spread float64 // mean deviation, seconds
	last   time.Time
}

// Learn takes the time that a first token was expected to need, and needed.
func (g *Gap) Learn(now time.Time, expected, actual time.Duration) {
	g.decay(now)
	late := (actual - expected).Seconds()
	deviation := late - g.mean
	g.mean += deviation / gapWeight
	g.spread += (max(deviation, -deviation) - g.spread) / gapWeight
}

func (g *Gap) decay(now time.Time) {
	if !g.last.IsZero() && now.After(g.last) {
		left := math.Exp2(-now.Sub(g.last).Seconds() / gapHalf.Seconds())
		g.mean *= left
		g.spread *= left
	}
	g.last = now
}

// Margin is what must be added to an expected time, at most a share of limit.
func (g *Gap) Margin(now time.Time, limit time.Duration) time.Duration {
	aged := *g
	aged.decay(now)
	margin := time.Duration((aged.mean + gapSpread*aged.spread) * float64(time.Second))
	return max(0, min(margin, time.Duration(gapShare*float64(limit))))
}
