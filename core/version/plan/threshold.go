package plan

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// Thresholds of pressure. The gap between high and low is the hysteresis.
// Prefill pressure is the queue in periods of work of the prefill engines;
// decode pressure is the used share of the decode batches.
const (
	prefillHigh = 1.0
	prefillLow  = 0.25
	decodeHigh  = 0.8
	decodeLow   = 0.5
)

// thresholdPolicy follows the queues: it moves an engine to the phase whose
// pressure is high while that of the other is low.
type thresholdPolicy struct {
	settings Settings
}

func newThreshold(s Settings) *thresholdPolicy {
	return &thresholdPolicy{settings: s}
}

// Decide implements Policy.
func (t *thresholdPolicy) Decide(now time.Time, in Input) (Choice, bool) {
	for _, f := range split(in) {
		if f.moving >= t.settings.Moving {
			break
		}
		if c, ok := t.choose(now, f); ok {
			return c, true
		}
	}
	return Choice{}, false
}

func (t *thresholdPolicy) choose(now time.Time, f fleet) (Choice, bool) {
	prefill, decode := t.pressure(f)
	var to state.Role
	switch {
	case prefill > prefillHigh && decode < decodeLow:
		to = state.RolePrefill
	case decode > decodeHigh && prefill < prefillLow:
		to = state.RoleDecode
	default:
		return Choice{}, false
	}
	from := other(to)
	e, ok := f.candidate(now, from, t.settings.Dwell)
	if !ok || f.serving(from) <= t.settings.Reserve {
		return Choice{}, false
	}
	return Choice{
		Engine:  e.Name,
		Role:    to,
		Saw:     fmt.Sprintf("model %s: prefill pressure %.2f, decode pressure %.2f", f.model, prefill, decode),
		Weighed: fmt.Sprintf("prefill %.2f to %.2f, decode %.2f to %.2f", prefillLow, prefillHigh, decodeLow, decodeHigh),
		Reason:  fmt.Sprintf("%s is under pressure", to),
	}, true
}

// pressure is 0 for a phase without engines of its own.
func (t *thresholdPolicy) pressure(f fleet) (prefill, decode float64) {
	queue, rate, streams, room := 0.0, 0.0, 0.0, 0.0
	for _, e := range f.engines {
		if !usable(e) {
			continue
		}
		switch e.Role {
		case state.RolePrefill:
			queue += float64(e.Queue)
			rate += prefillRate(e) * t.settings.Period.Seconds()
		case state.RoleDecode:
			streams += float64(e.Running + e.Waiting)
			room += float64(batchLimit(e))
		case state.RoleMixed:
		}
	}
	if rate > 0 {
		prefill = queue / rate
	}
	if room > 0 {
		decode = streams / room
	}
	return prefill, decode
}
