package infer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
)

// Effects of an order, as the history names them.
const (
	effectChange = "change"
	effectRepeat = "repeat"
	effectNone   = "none"
)

// Reasons for which an order is refused.
const (
	reasonFence = "old_fence"
	reasonBusy  = "busy"
	reasonDead  = "crashed"
)

func (e *Engine) order(o state.Order) engine.OrderResult {
	result := engine.OrderResult{Reason: reasonDead}
	e.do(func(now time.Time) {
		if e.dead {
			return
		}
		result = e.obey(now, o)
	})
	return result
}

// obey executes an order. An engine that isn't fenced executes whatever comes.
func (e *Engine) obey(now time.Time, o state.Order) engine.OrderResult {
	record := stand.Record{At: now, Kind: stand.RecordOrder, Order: &o, Effect: effectNone}
	record.Reason = e.refuse(o)
	record.Accepted = record.Reason == ""
	target := e.merge(o)
	running := e.status.Changing && o.Number != e.target.Number
	older := o.Number < e.status.Number
	record.Conflict = record.Reason != reasonFence && (running || older)
	if record.Accepted {
		record.Effect = e.apply(o, target)
	}
	e.history.Add(record)
	return engine.OrderResult{Accepted: record.Accepted, Reason: record.Reason}
}

func (e *Engine) refuse(o state.Order) string {
	if !e.config.Fenced {
		return ""
	}
	if o.Fence < e.status.Fence || o.Number < e.status.Number {
		return reasonFence
	}
	if e.status.Changing && o.Number != e.target.Number {
		return reasonBusy
	}
	return ""
}

// merge is the state that an order leads to: what it leaves out stays.
func (e *Engine) merge(o state.Order) engine.Status {
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
	t.Number, t.Fence, t.Changing = o.Number, o.Fence, false
	return t
}

func (e *Engine) apply(o state.Order, target engine.Status) string {
	repeat := o.Number == e.status.Number
	e.status.Fence, e.status.Number = o.Fence, o.Number
	if repeat && same(target, e.target) {
		e.target = target
		return effectRepeat
	}
	if !e.status.Changing && same(target, e.status) {
		e.target = target
		return effectNone
	}
	load := target.Model != e.status.Model || target.Adapter != e.status.Adapter ||
		target.Revision != e.status.Revision
	e.begin(target, load)
	return effectChange
}

func same(a, b engine.Status) bool {
	return a.Role == b.Role && a.Model == b.Model && a.Adapter == b.Adapter && a.Revision == b.Revision
}

// begin takes the engine away. Whatever runs is cut.
func (e *Engine) begin(target engine.Status, load bool) {
	e.batch.clear(stand.RecordCut)
	e.busy = false
	e.status.Changing = true
	e.target = target
	e.epoch++
	epoch := e.epoch
	away := time.Duration(e.config.Change)
	if load {
		away = time.Duration(e.config.Load)
	}
	e.group.Go(func() {
		if load && e.weights != "" {
			fetch(e.life, e.weights, target)
		}
		select {
		case <-time.After(away):
			e.do(func(now time.Time) { e.complete(now, epoch) })
		case <-e.life.Done():
		}
	})
}

func (e *Engine) complete(now time.Time, epoch int) {
	if epoch != e.epoch || e.dead {
		return
	}
	target := e.target
	target.Fence, target.Number = e.status.Fence, e.status.Number
	e.status, e.target = target, target
	e.reset()
	e.snapshot(now, true)
	e.history.Add(stand.Record{
		At: now, Kind: stand.RecordChanged,
		Order: &state.Order{
			Number: target.Number, Engine: target.Engine, Fence: target.Fence, Role: target.Role,
			Model: target.Model, Adapter: target.Adapter, Revision: target.Revision,
		},
	})
}

const fetchTimeout = 10 * time.Minute

// fetch reads a model from the weight store, which limits the rate.
func fetch(ctx context.Context, base string, target engine.Status) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/weights/%s/%s", base, target.Model, target.Revision)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
}
