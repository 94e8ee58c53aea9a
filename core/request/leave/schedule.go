package leave

import "time"

const (
	refuseShare = 0.75
	closeShare  = 0.8
	cutShare    = 0.95
	endShare    = 0.96
	// writeTime is the least time between the cut and the end: an instance may have to answer
	// hundreds of calls at once. A grace of seconds has more.
	writeTime = 120 * time.Millisecond
	// minCutShare is the least share of a short grace that running calls have.
	minCutShare = 0.84
)

// Schedule holds the times of a shutdown, since its begin.
type Schedule struct {
	Refuse time.Duration // new calls are refused as not run from then on
	Close  time.Duration // no more connections are accepted
	Cut    time.Duration // running calls are cut
	End    time.Duration // their callers have been told
}

// NewSchedule returns the times of a shutdown with a grace period.
func NewSchedule(grace time.Duration) Schedule {
	share := func(x float64) time.Duration { return time.Duration(x * float64(grace)) }
	s := Schedule{Refuse: share(refuseShare), Close: share(closeShare), End: share(endShare)}
	s.Cut = max(share(minCutShare), min(share(cutShare), s.End-writeTime))
	return s
}
