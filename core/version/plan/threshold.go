package plan

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// Pressure thresholds with hysteresis. Prefill pressure is the prompt queue in
// periods of work of the prefill engines; decode pressure is the share of the
// decode batches in use, where queued requests count as well.
const (
	prefillPressureHigh = 1.0
	prefillPressureLow  = 0.25
	decodePressureHigh  = 0.8
	decodePressureLow   = 0.5
)

// thresholdPolicy reacts to queues: it moves an engine to the role whose pressure
// is high while that of the other is low.
type thresholdPolicy struct {
	settings Settings
}

func newThreshold(s Settings) *thresholdPolicy {
	return &thresholdPolicy{settings: s}
}

// Decide implements Policy.
func (t *thresholdPolicy) Decide(now time.Time, in Input) (RoleChange, bool) {
	for _, p := range groupByModel(in) {
		if p.changing >= t.settings.MaxChanging {
			break
		}
		if c, ok := t.selectChange(now, p); ok {
			return c, true
		}
	}
	return RoleChange{}, false
}

// selectChange returns a role change for a pool, if any is due.
func (t *thresholdPolicy) selectChange(now time.Time, p pool) (RoleChange, bool) {
	prefill, decode := t.pressure(p)
	var to state.Role
	switch {
	case prefill > prefillPressureHigh && decode < decodePressureLow:
		to = state.RolePrefill
	case decode > decodePressureHigh && prefill < prefillPressureLow:
		to = state.RoleDecode
	default:
		return RoleChange{}, false
	}
	from := oppositeRole(to)
	e, ok := p.candidate(now, from, t.settings.MinDwell)
	if !ok || p.countServing(from) <= t.settings.MinPerRole {
		return RoleChange{}, false
	}
	return RoleChange{
		Engine:   e.Name,
		Role:     to,
		Observed: fmt.Sprintf("model %s: prefill pressure %.2f, decode pressure %.2f", p.model, prefill, decode),
		Compared: fmt.Sprintf("prefill %.2f to %.2f, decode %.2f to %.2f", prefillPressureLow, prefillPressureHigh, decodePressureLow, decodePressureHigh),
		Reason:   fmt.Sprintf("%s is under pressure", to),
	}, true
}

// pressure returns the pressure of each role, 0 for a role without engines.
func (t *thresholdPolicy) pressure(p pool) (prefill, decode float64) {
	queue, rate, streams, slots := 0.0, 0.0, 0.0, 0.0
	for _, e := range p.engines {
		if !usable(e) {
			continue
		}
		switch e.Role {
		case state.RolePrefill:
			queue += float64(e.QueuedTokens)
			rate += prefillRate(e) * t.settings.Period.Seconds()
		case state.RoleDecode:
			streams += float64(e.Running + e.Waiting)
			slots += float64(maxBatch(e))
		case state.RoleMixed:
		}
	}
	if rate > 0 {
		prefill = queue / rate
	}
	if slots > 0 {
		decode = streams / slots
	}
	return prefill, decode
}
