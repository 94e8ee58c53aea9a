package plan

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// stepModel estimates how the time between tokens grows with the batch size, by
// least squares over the reports with exponentially decaying weights.
type stepModel struct {
	weight, sumN, sumT, sumNN, sumNT float64
}

const (
	reportDecay      = 0.995 // weight factor per report
	minBatchVariance = 4.0   // least variance of batch sizes for which a slope is fitted
	defaultSlope     = 0.02  // growth per further stream, as a share of the step time of one stream
	minSlope         = 0.001
	maxSlope         = 0.2
)

// observe adds the report of a decode engine.
func (m *stepModel) observe(e Engine) {
	if e.TPOT <= 0 || e.Running <= 0 || e.Role != state.RoleDecode {
		return
	}
	n, t := float64(e.Running), e.TPOT.Seconds()
	m.weight = m.weight*reportDecay + 1
	m.sumN = m.sumN*reportDecay + n
	m.sumT = m.sumT*reportDecay + t
	m.sumNN = m.sumNN*reportDecay + n*n
	m.sumNT = m.sumNT*reportDecay + n*t
}

// stepTime returns the predicted time between tokens in a batch of n streams, in
// seconds.
func (m *stepModel) stepTime(n float64) float64 {
	if m.weight == 0 {
		return defaultStepTime.Seconds() * (1 + defaultSlope*(n-1))
	}
	meanN, meanT := m.sumN/m.weight, m.sumT/m.weight
	growth := defaultSlope
	base := meanT / (1 + growth*max(0, meanN-1))
	variance := m.sumNN/m.weight - meanN*meanN
	if variance > minBatchVariance {
		slope := (m.sumNT/m.weight - meanN*meanT) / variance
		oneStream := meanT - slope*(meanN-1)
		if oneStream > 0 {
			base, growth = oneStream, min(max(slope/oneStream, minSlope), maxSlope)
		}
	}
	return base * (1 + growth*(n-1))
}

// decodeRate returns the output tokens per second of an engine with a full batch.
func (m *stepModel) decodeRate(batch int) float64 {
	n := float64(batch)
	return n / m.stepTime(n)
}

// downtime estimates how long a role change keeps an engine out of service. One
// change counts for at most limit: an engine still works while it drains, and a
// few long drains of full queues would otherwise rule out all later changes.
type downtime struct {
	startedAt map[string]time.Time // start of the running changes, by engine
	mean      time.Duration
	limit     time.Duration
}

const downtimeDivisor = 4 // a new value has a weight of 1/downtimeDivisor

// observe records starts and ends of role changes.
func (d *downtime) observe(now time.Time, engines []Engine) {
	for _, e := range engines {
		start, changing := d.startedAt[e.Name]
		switch {
		case e.Phase == state.PhaseChanging && !changing:
			d.startedAt[e.Name] = now
		case e.Phase != state.PhaseChanging && changing:
			delete(d.startedAt, e.Name)
			if usable(e) {
				d.mean += (min(now.Sub(start), d.limit) - d.mean) / downtimeDivisor
			}
		}
	}
}
