package infer

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/inject"
)

var errUnknownFault = errors.New("fault kind not supported by this target")

// InjectFault injects or clears a fault.
func (e *Engine) InjectFault(f inject.Fault) error {
	switch f.Kind {
	case inject.Crash:
		e.runOnLoop(func(now time.Time) { e.crash(now, "fault") })
	case inject.Restart:
		e.runOnLoop(e.restart)
	case inject.StallConns:
		e.gate.StallConns()
	case inject.ResetConns:
		e.gate.ResetConns()
	case inject.ClearFaults:
		e.runOnLoop(func(time.Time) {
			clear(e.faults)
			e.slowdown = 1
			e.reportLag = time.Duration(e.config.ReportLag)
		})
	case inject.SwapEvents, inject.StaleEvent, inject.Truncate, inject.Duplicate:
		e.runOnLoop(func(time.Time) { e.faults[f.Kind] += max(1, f.Count) })
	case inject.Slow:
		v, err := strconv.ParseFloat(f.Value, 64)
		if err != nil || v <= 0 {
			return fmt.Errorf("slow: factor %q, want a number above 0", f.Value)
		}
		e.runOnLoop(func(time.Time) { e.slowdown = v })
	case inject.ReportLag:
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

// crash resets all connections and aborts all jobs. A change in progress is lost:
// the engine restarts with the role and model that it had before.
func (e *Engine) crash(now time.Time, reason string) {
	if e.crashed {
		return
	}
	e.crashed = true
	e.epoch++
	e.status.Changing = false
	e.target = e.status
	e.history.Add(inject.Record{At: now, Kind: inject.RecordCrash, Reason: reason})
	e.gate.SetDown(true)
	e.batch.clear(inject.RecordAborted)
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
	e.history.Add(inject.Record{At: now, Kind: inject.RecordRestart})
}
