package infer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
)

// Effects of an order in the records.
const (
	effectChange = "change"
	effectRepeat = "repeat"
	effectNone   = "none"
)

// Reasons to refuse an order.
const (
	reasonOldFence = "old_fence"
	reasonBusy     = "busy"
	reasonCrashed  = "crashed"
)

// submitOrder executes an order on the loop.
func (e *Engine) submitOrder(o state.Order) engine.OrderResult {
	result := engine.OrderResult{Reason: reasonCrashed}
	e.runOnLoop(func(now time.Time) {
		if e.crashed {
			return
		}
		result = e.executeOrder(now, o)
	})
	return result
}

// executeOrder applies an order and records the outcome. An engine without
// fencing accepts every order.
func (e *Engine) executeOrder(now time.Time, o state.Order) engine.OrderResult {
	record := inject.Record{At: now, Kind: inject.RecordOrder, Order: &o, Effect: effectNone}
	record.Reason = e.refusalReason(o)
	record.Accepted = record.Reason == ""
	target := e.orderTarget(o)
	duringChange := e.status.Changing && o.Number != e.target.LastOrder
	outdated := o.Number < e.status.LastOrder
	record.Conflict = record.Reason != reasonOldFence && (duringChange || outdated)
	if record.Accepted {
		record.Effect = e.apply(o, target)
	}
	e.history.Add(record)
	return engine.OrderResult{Accepted: record.Accepted, Reason: record.Reason}
}

// refusalReason returns why an order is refused, or "" if it is accepted.
func (e *Engine) refusalReason(o state.Order) string {
	if !e.config.Fenced {
		return ""
	}
	if o.FencingToken < e.status.Fence || o.Number < e.status.LastOrder {
		return reasonOldFence
	}
	if e.status.Changing && o.Number != e.target.LastOrder {
		return reasonBusy
	}
	return ""
}

// orderTarget returns the state after an order. Fields that the order leaves
// empty keep their value.
func (e *Engine) orderTarget(o state.Order) engine.Status {
	t := e.status
	if e.status.Changing {
		t = e.target
	}
	if o.Role != "" {
		t.Role = o.Role
	}
	if o.Model != "" {
		t.Model = o.Model
	}
	if o.Adapter != "" {
		t.Adapter = o.Adapter
	}
	if o.Revision != "" {
		t.Revision = o.Revision
	}
	t.LastOrder, t.Fence, t.Changing = o.Number, o.FencingToken, false
	return t
}

// apply starts the change that an accepted order needs and returns its effect.
func (e *Engine) apply(o state.Order, target engine.Status) string {
	repeat := o.Number == e.status.LastOrder
	e.status.Fence, e.status.LastOrder = o.FencingToken, o.Number
	if repeat && sameConfig(target, e.target) {
		e.target = target
		return effectRepeat
	}
	if !e.status.Changing && sameConfig(target, e.status) {
		e.target = target
		return effectNone
	}
	reload := target.Model != e.status.Model || target.Adapter != e.status.Adapter ||
		target.Revision != e.status.Revision
	e.beginChange(target, reload)
	return effectChange
}

// sameConfig reports whether role, model, adapter and revision are equal.
func sameConfig(a, b engine.Status) bool {
	return a.Role == b.Role && a.Model == b.Model && a.Adapter == b.Adapter && a.Revision == b.Revision
}

// beginChange aborts all jobs and makes the engine unavailable for the duration
// of a change.
func (e *Engine) beginChange(target engine.Status, reload bool) {
	e.batch.clear(inject.RecordAborted)
	e.iterating = false
	e.status.Changing = true
	e.target = target
	e.epoch++
	epoch := e.epoch
	duration := time.Duration(e.config.ChangeTime)
	if reload {
		duration = time.Duration(e.config.LoadTime)
	}
	e.group.Go(func() {
		if reload && e.weightsURL != "" {
			fetchWeights(e.lifetime, e.weightsURL, target)
		}
		select {
		case <-time.After(duration):
			e.runOnLoop(func(now time.Time) { e.completeChange(now, epoch) })
		case <-e.lifetime.Done():
		}
	})
}

// completeChange ends a change, unless another change or a crash followed it.
func (e *Engine) completeChange(now time.Time, epoch int) {
	if epoch != e.epoch || e.crashed {
		return
	}
	target := e.target
	target.Fence, target.LastOrder = e.status.Fence, e.status.LastOrder
	e.status, e.target = target, target
	e.resetBatch()
	e.recordLoad(now, true)
	e.history.Add(inject.Record{
		At: now, Kind: inject.RecordApplied,
		Order: &state.Order{
			Number: target.LastOrder, Engine: target.Engine, FencingToken: target.Fence, Role: target.Role,
			Model: target.Model, Adapter: target.Adapter, Revision: target.Revision,
		},
	})
}

const fetchWeightsTimeout = 10 * time.Minute

// fetchWeights downloads a model from the weight store, whose bandwidth is
// limited. Errors are ignored: the change goes on without the weights.
func fetchWeights(ctx context.Context, base string, target engine.Status) {
	ctx, cancel := context.WithTimeout(ctx, fetchWeightsTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/weights/%s/%s", base, target.Model, target.Revision)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
}
