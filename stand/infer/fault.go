package infer

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/stand"
)

var errFault = errors.New("unknown kind of fault for this target")

// Fault brings a fault about.
func (e *Engine) Fault(f stand.Fault) error {
	switch f.Kind {
	case stand.Crash:
		e.do(func(now time.Time) { e.crash(now, "fault") })
	case stand.Revive:
		e.do(e.revive)
	case stand.Silence:
		e.gate.Silence()
	case stand.Reset:
		e.gate.Reset()
	case stand.Heal:
		e.do(func(time.Time) {
			clear(e.faults)
			e.slow = 1
			e.lag = time.Duration(e.config.Lag)
		})
	case stand.Cross, stand.Late, stand.Truncate, stand.Duplicate:
		e.do(func(time.Time) { e.faults[f.Kind] += max(1, f.Count) })
	case stand.Slow:
		v, err := strconv.ParseFloat(f.Value, 64)
		if err != nil || v <= 0 {
			return fmt.Errorf("slow by a factor above 0, not %q", f.Value)
		}
		e.do(func(time.Time) { e.slow = v })
	case stand.Lag:
		v, err := time.ParseDuration(f.Value)
		if err != nil {
			return fmt.Errorf("lag of %q: %w", f.Value, err)
		}
		e.do(func(time.Time) { e.lag = v })
	default:
		return fmt.Errorf("%s: %w", f.Kind, errFault)
	}
	return nil
}

// crash drops all connections and all work. A change that was under way is
// lost; the engine comes back as it was before.
func (e *Engine) crash(now time.Time, reason string) {
	if e.dead {
		return
	}
	e.dead = true
	e.epoch++
	e.status.Changing = false
	e.target = e.status
	e.history.Add(stand.Record{At: now, Kind: stand.RecordCrash, Reason: reason})
	e.gate.Down(true)
	e.batch.clear(stand.RecordCut)
	e.busy = false
}

func (e *Engine) revive(now time.Time) {
	if !e.dead {
		return
	}
	e.dead = false
	e.reset()
	e.snapshot(now, true)
	e.gate.Down(false)
	e.history.Add(stand.Record{At: now, Kind: stand.RecordRevive})
}
