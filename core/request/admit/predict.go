package admit

import (
	"math"
	"time"
)

const (
	// smoothingDivisor is the divisor of the moving averages: an observation
	// has a weight of 1/smoothingDivisor.
	smoothingDivisor = 16
	// marginDeviations is the number of mean deviations that the margin adds to
	// the mean.
	marginDeviations = 1
	// marginHalfLife is the time in which a margin without new observations
	// halves. Without the decay, a margin that rejects all requests would never
	// get an observation that corrects it.
	marginHalfLife = 2 * time.Second
	// maxMarginShare is the largest margin, as a share of the time limit.
	maxMarginShare = 0.5
)

// PredictionError estimates by how much first tokens arrive later than
// predicted at admission. They do because load reports lag and because other
// instances send to the same engines.
type PredictionError struct {
	mean          float64 // seconds
	meanDeviation float64 // seconds
	updated       time.Time
}

// Observe adds an observation: the predicted and the actual time to a first
// token.
func (g *PredictionError) Observe(now time.Time, expected, actual time.Duration) {
	g.decay(now)
	lateness := (actual - expected).Seconds()
	deviation := lateness - g.mean
	g.mean += deviation / smoothingDivisor
	g.meanDeviation += (max(deviation, -deviation) - g.meanDeviation) / smoothingDivisor
}

// decay ages the estimate by the time since the last observation.
func (g *PredictionError) decay(now time.Time) {
	if !g.updated.IsZero() && now.After(g.updated) {
		factor := math.Exp2(-now.Sub(g.updated).Seconds() / marginHalfLife.Seconds())
		g.mean *= factor
		g.meanDeviation *= factor
	}
	g.updated = now
}

// Margin returns the time to add to a prediction, at most a share of limit.
func (g *PredictionError) Margin(now time.Time, limit time.Duration) time.Duration {
	aged := *g
	aged.decay(now)
	margin := time.Duration((aged.mean + marginDeviations*aged.meanDeviation) * float64(time.Second))
	return max(0, min(margin, time.Duration(maxMarginShare*float64(limit))))
}
