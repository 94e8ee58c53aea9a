package infer

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/stand"
)

var errUnknownFault = errors.New("fault kind not supported by this target")

// InjectFault injects a fault.
func (e *Engine) InjectFault(f stand.Fault) error {
	switch f.Kind {
	case stand.Crash:
		e.runOnLoop(func(now time.Time) { e.crash(now, "fault") })
	case stand.Restart:
		e.runOnLoop(e.restart)
	case stand.StallConns:
		e.gate.StallConns()
	case stand.ResetConns:
		e.gate.ResetConns()
	case stand.ClearFaults:
		e.runOnLoop(func(time.Time) {
			clear(e.faults)
			e.slowdown = 1
			e.reportLag = time.Duration(e.config.ReportLag)
		})
	case stand.SwapEvents, stand.StaleEvent, stand.Truncate, stand.Duplicate:
		e.runOnLoop(func(time.Time) { e.faults[f.Kind] += max(1, f.Count) })
	case stand.Slow:
		v, err := strconv.ParseFloat(f.Value, 64)
		if err != nil || v <= 0 {
			return fmt.Errorf("slow: factor %q, want a number above 0", f.Value)
		}
		e.runOnLoop(func(time.Time) { e.slowdown = v })
	case stand.ReportLag:
		v, err := time.ParseDuration(f.Value)
		if err != nil {
			return fmt.Errorf("lag: invalid duration %q: %w", f.Value, err)
		}
		e.runOnLoop(func(time.Time) { e.reportLag = v })
	default:
		return fmt.Errorf("%s: %w", f.Kind, errUnknownFault)
	}
	return nil
}

// crash resets all connections and cuts all jobs. A change in progress is lost:
// the engine restarts with the role and model that it had before.
func (e *Engine) crash(now time.Time, reason string) {
	if e.crashed {
		return
	}
	e.crashed = true
	e.epoch++
	e.status.Changing = false
	e.target = e.status
	e.history.Add(stand.Record{At: now, Kind: stand.RecordCrash, Reason: reason})
	e.gate.SetDown(true)
	e.batch.clear(stand.RecordAborted)
	e.iterating = false
}

// restart brings a crashed engine back with an empty batch and cache.
func (e *Engine) restart(now time.Time) {
	if !e.crashed {
		return
	}
	e.crashed = false
	e.resetBatch()
	e.recordLoad(now, true)
	e.gate.SetDown(false)
	e.history.Add(stand.Record{At: now, Kind: stand.RecordRestart})
}
