package infer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
	"verbenahaven.example/stand/trace"
)

const (
	commandBuffer  = 1024
	maxWaiting     = 4096
	reportInterval = 5 * time.Millisecond
	maxReports     = 8192
	maxCatchUp     = 200 * time.Millisecond // longest delay of the loop that later iterations make up for
	holdTimeout    = 30 * time.Second       // held KV caches are dropped after this time
)

// Reasons to reject a request. Their texts are part of the response.
var (
	errChanging      = errors.New("changing")
	errCrashed       = errors.New("crashed")
	errWrongRole     = errors.New("wrong_role")
	errQueueFull     = errors.New("queue_full")
	errPromptTooLong = errors.New("prompt_too_long")
)

// Engine is a simulated engine. Its state is owned by one goroutine, the loop,
// which runs the commands sent to it.
type Engine struct {
	config     config.Engine
	weightsURL string // URL of the weight store; empty for none
	history    *trace.History
	gate       *gate.Listener
	commands   chan func(now time.Time)
	done       chan struct{}
	lifetime   context.Context // cancelled when the engine stops
	group      sync.WaitGroup

	// The fields below belong to the loop.
	batch        *batch
	jobs         map[string]*job
	status       engine.Status
	target       engine.Status // state after the current change
	epoch        int           // counts changes and crashes, to ignore outdated completions
	crashed      bool
	reports      []engine.LoadReport
	reportLag    time.Duration
	slowdown     float64
	lastStep     time.Duration
	iterationEnd time.Time
	iterating    bool
	faults       map[inject.FaultKind]int
	swapPartner  *job
	lastEvent    *tokenEvent
}

// New starts an engine's loop. The returned function stops it.
func New(ctx context.Context, c config.Engine, weights string) (*Engine, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e := &Engine{
		config:     c,
		weightsURL: weights,
		history:    &trace.History{},
		commands:   make(chan func(time.Time), commandBuffer),
		done:       make(chan struct{}),
		lifetime:   ctx,
		jobs:       make(map[string]*job),
		reportLag:  time.Duration(c.ReportLag),
		slowdown:   1,
		lastStep:   time.Duration(c.Step),
		faults:     make(map[inject.FaultKind]int),
	}
	e.status = engine.Status{
		Engine: c.Name, Role: c.Role, Model: c.Model, Adapter: c.Adapter, Revision: c.Revision,
	}
	e.target = e.status
	e.resetBatch()
	e.group.Go(func() { e.loop(ctx) })
	return e, func() {
		cancel()
		e.group.Wait()
	}
}

// History returns the engine's records.
func (e *Engine) History() *trace.History {
	return e.history
}

// resetBatch replaces the batch by an empty one for the current role.
func (e *Engine) resetBatch() {
	e.batch = newBatch(e.config, e.status.Role)
	e.batch.deliver = e.deliver
	e.batch.onEnded = e.jobEnded
	e.iterating = false
	e.swapPartner = nil
}

func (e *Engine) loop(ctx context.Context) {
	defer close(e.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			e.batch.clear(inject.RecordAborted)
			return
		case f := <-e.commands:
			f(time.Now())
		case now := <-sweep.C:
			e.expireHeld(now)
		case <-timer.C:
			e.finishIfDue(time.Now())
		}
		e.startIteration(time.Now())
		if e.iterating {
			timer.Reset(time.Until(e.iterationEnd))
		}
	}
}

// startIteration begins an iteration if none runs. Its end is computed from the
// planned end of the previous one, so that late timers don't slow the engine
// down.
func (e *Engine) startIteration(now time.Time) {
	if e.iterating || e.status.Changing || e.crashed {
		return
	}
	d := e.batch.beginIteration(now)
	if d == 0 {
		e.iterationEnd = time.Time{}
		return
	}
	if e.batch.streams > 0 {
		e.lastStep = d
	}
	if now.Sub(e.iterationEnd) > maxCatchUp {
		e.iterationEnd = now
	}
	e.iterationEnd = e.iterationEnd.Add(time.Duration(float64(d) * e.slowdown))
	e.iterating = true
}

// finishIfDue completes the current iteration once its time is up.
func (e *Engine) finishIfDue(now time.Time) {
	if !e.iterating || now.Before(e.iterationEnd) {
		return
	}
	e.iterating = false
	e.batch.finishIteration(now)
	e.recordLoad(now, e.batch.idle())
}

// recordLoad adds a load report, at most one per reportInterval unless forced.
func (e *Engine) recordLoad(now time.Time, force bool) {
	if n := len(e.reports); !force && n > 0 && now.Sub(e.reports[n-1].MeasuredAt) < reportInterval {
		return
	}
	if len(e.reports) >= maxReports {
		e.reports = append(e.reports[:0], e.reports[maxReports/2:]...)
	}
	e.reports = append(e.reports, engine.LoadReport{
		Engine:             e.config.Name,
		MeasuredAt:         now,
		Role:               e.status.Role,
		Running:            len(e.batch.decode) + len(e.batch.prefill),
		Waiting:            len(e.batch.waiting),
		PrefillQueueTokens: e.batch.pendingTokens(),
		KVUsedTokens:       int64(e.batch.usedTokens),
		KVTotalTokens:      int64(e.config.KVTokens),
		TPOT:               time.Duration(float64(e.lastStep) * e.slowdown),
		PrefillRate:        e.config.PrefillRate / e.slowdown,
		MaxBatch:           e.config.MaxBatch,
	})
}

// laggedLoad returns the load as it was reportLag ago.
func (e *Engine) laggedLoad(now time.Time) engine.LoadReport {
	until := now.Add(-e.reportLag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].MeasuredAt.After(until) {
			r := e.reports[i]
			r.MeasuredAt = until
			return r
		}
	}
	return engine.LoadReport{
		Engine: e.config.Name, MeasuredAt: until, Role: e.status.Role, KVTotalTokens: int64(e.config.KVTokens),
		TPOT: time.Duration(e.config.Step), PrefillRate: e.config.PrefillRate, MaxBatch: e.config.MaxBatch,
	}
}

// expireHeld drops held KV caches that no engine has fetched in time.
func (e *Engine) expireHeld(now time.Time) {
	for _, j := range e.batch.held {
		if now.Sub(j.heldAt) > holdTimeout {
			e.batch.end(j, inject.RecordCancel)
		}
	}
	e.recordLoad(now, true)
}

// runOnLoop runs f on the loop and waits for it to return. It may return without
// running f if the engine has stopped.
func (e *Engine) runOnLoop(f func(now time.Time)) {
	ran := make(chan struct{})
	select {
	case e.commands <- func(now time.Time) { f(now); close(ran) }:
	case <-e.done:
		return
	}
	select {
	case <-ran:
	case <-e.done:
	}
}

// available returns an error if the engine has crashed or is changing.
func (e *Engine) available() error {
	if e.crashed {
		return errCrashed
	}
	if e.status.Changing {
		return errChanging
	}
	return nil
}

// submit queues a job or returns the reason for its rejection.
func (e *Engine) submit(j *job) error {
	err := errCrashed
	e.runOnLoop(func(now time.Time) { err = e.accept(now, j) })
	return err
}

func (e *Engine) accept(now time.Time, j *job) error {
	if err := e.available(); err != nil {
		return err
	}
	if !j.prefillOnly && e.status.Role == state.RolePrefill {
		return errWrongRole
	}
	if len(e.batch.waiting) >= maxWaiting {
		return errQueueFull
	}
	if j.contextTokens+j.endToken-j.nextToken > e.config.KVTokens {
		return errPromptTooLong
	}
	if e.faults[inject.Truncate] > 0 && !j.prefillOnly {
		e.faults[inject.Truncate]--
		j.truncateAt = (j.nextToken + j.endToken + 1) / 2
	}
	if j.attempt == "" {
		j.attempt = "local-" + strconv.FormatUint(e.batch.lastSerial+1, 10)
	}
	e.jobs[j.attempt] = j
	e.batch.submit(j)
	e.recordLoad(now, false)
	e.history.Add(inject.Record{At: now, Kind: inject.RecordStart, Attempt: j.attempt})
	return nil
}

// cancel aborts an attempt if it still runs.
func (e *Engine) cancel(attempt string) {
	e.runOnLoop(func(time.Time) {
		if j, ok := e.jobs[attempt]; ok {
			e.batch.abort(j, inject.RecordCancel)
		}
	})
}

// jobEnded removes an ended job and records its end.
func (e *Engine) jobEnded(j *job) {
	if e.jobs[j.attempt] == j {
		delete(e.jobs, j.attempt)
	}
	e.history.Add(inject.Record{Kind: j.reason, Attempt: j.attempt, Tokens: j.nextToken})
}
