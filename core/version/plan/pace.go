package plan

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// pace learns how the time between tokens grows with the batch, by least
// squares over reports with exponential forgetting.
type pace struct {
	weight, n, t, nn, nt float64
}

const (
	paceForget   = 0.995 // for each report
	paceSpread   = 4.0   // variance of batch sizes needed for a slope
	slopeDefault = 0.02  // of the step, for each further stream
	slopeLeast   = 0.001
	slopeMost    = 0.2
)

func (p *pace) learn(e Engine) {
	if e.Step <= 0 || e.Running <= 0 || e.Role != state.RoleDecode {
		return
	}
	n, t := float64(e.Running), e.Step.Seconds()
	p.weight = p.weight*paceForget + 1
	p.n = p.n*paceForget + n
	p.t = p.t*paceForget + t
	p.nn = p.nn*paceForget + n*n
	p.nt = p.nt*paceForget + n*t
}

// step predicts the time between tokens of a batch of n streams, in seconds.
func (p *pace) step(n float64) float64 {
	if p.weight == 0 {
		return fallbackStep.Seconds() * (1 + slopeDefault*(n-1))
	}
	meanN, meanT := p.n/p.weight, p.t/p.weight
	share := slopeDefault
	base := meanT / (1 + share*max(0, meanN-1))
	variance := p.nn/p.weight - meanN*meanN
	if variance > paceSpread {
		slope := (p.nt/p.weight - meanN*meanT) / variance
		one := meanT - slope*(meanN-1)
		if one > 0 {
			base, share = one, min(max(slope/one, slopeLeast), slopeMost)
		}
	}
	return base * (1 + share*(n-1))
}

// rate is the output tokens a second of an engine with a full batch.
func (p *pace) rate(batch int) float64 {
	n := float64(batch)
	return n / p.step(n)
}

// away learns how long a role change keeps an engine out of service. A long
// drain is work that is still done, so one change counts for no more than most:
// otherwise a few drains of full queues would rule out every later change.
type away struct {
	since map[string]time.Time
	mean  time.Duration
	most  time.Duration
}

const awayWeight = 4 // a new value counts one in this many

func (a *away) learn(now time.Time, engines []Engine) {
	for _, e := range engines {
		start, changing := a.since[e.Name]
		switch {
		case e.Phase == state.PhaseChanging && !changing:
			a.since[e.Name] = now
		case e.Phase != state.PhaseChanging && changing:
			delete(a.since, e.Name)
			if usable(e) {
				a.mean += (min(now.Sub(start), a.most) - a.mean) / awayWeight
			}
		}
	}
}
