package infer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
	"verbenahaven.example/stand/trace"
)

const (
	ringCommands  = 1024
	queueLimit    = 4096
	snapshotEvery = 5 * time.Millisecond
	snapshotLimit = 8192
	lateLimit     = 200 * time.Millisecond // lateness that is made up for
	holdTime      = 30 * time.Second       // KV caches nobody fetches are dropped
)

// Reasons for which an engine turns requests away.
var (
	errAway = errors.New("changing")
	errDead = errors.New("crashed")
	errRole = errors.New("wrong_role")
	errFull = errors.New("queue_full")
	errSize = errors.New("prompt_too_long")
)

// Engine is one stand-in engine.
type Engine struct {
	config   config.Engine
	weights  string // URL of the weight store, "" for none
	history  *trace.History
	gate     *gate.Listener
	commands chan func(now time.Time)
	done     chan struct{}
	life     context.Context // ends with the engine
	group    sync.WaitGroup

	// Below: only the loop.
	batch    *batch
	jobs     map[string]*job
	status   engine.Status
	target   engine.Status // what the current change leads to
	epoch    int           // counts changes and crashes
	dead     bool
	reports  []engine.Load
	lag      time.Duration
	slow     float64
	step     time.Duration
	deadline time.Time
	busy     bool
	faults   map[stand.Kind]int
	crossed  *job
	stale    *event
}

// New starts an engine's loop. The clean-up stops it.
func New(ctx context.Context, c config.Engine, weights string) (*Engine, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e := &Engine{
		config:   c,
		weights:  weights,
		history:  &trace.History{},
		commands: make(chan func(time.Time), ringCommands),
		done:     make(chan struct{}),
		life:     ctx,
		jobs:     make(map[string]*job),
		lag:      time.Duration(c.Lag),
		slow:     1,
		step:     time.Duration(c.Step),
		faults:   make(map[stand.Kind]int),
	}
	e.status = engine.Status{
		Engine: c.Name, Role: c.Role, Model: c.Model, Adapter: c.Adapter, Revision: c.Revision,
	}
	e.target = e.status
	e.reset()
	e.group.Go(func() { e.loop(ctx) })
	return e, func() {
		cancel()
		e.group.Wait()
	}
}

// History is what the engine saw.
func (e *Engine) History() *trace.History {
	return e.history
}

// reset gives the engine an empty batch in its current role.
func (e *Engine) reset() {
	e.batch = newBatch(e.config, e.status.Role)
	e.batch.deliver = e.deliver
	e.batch.finished = e.ended
	e.busy = false
	e.crossed = nil
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
			e.batch.clear(stand.RecordCut)
			return
		case f := <-e.commands:
			f(time.Now())
		case now := <-sweep.C:
			e.expire(now)
		case <-timer.C:
			e.tick(time.Now())
		}
		e.start(time.Now())
		if e.busy {
			timer.Reset(time.Until(e.deadline))
		}
	}
}

// start begins an iteration if none runs. Iterations follow one another on
// the planned times, so that a late wake-up doesn't slow the engine down.
func (e *Engine) start(now time.Time) {
	if e.busy || e.status.Changing || e.dead {
		return
	}
	d := e.batch.begin(now)
	if d == 0 {
		e.deadline = time.Time{}
		return
	}
	if e.batch.streams > 0 {
		e.step = d
	}
	if now.Sub(e.deadline) > lateLimit {
		e.deadline = now
	}
	e.deadline = e.deadline.Add(time.Duration(float64(d) * e.slow))
	e.busy = true
}

func (e *Engine) tick(now time.Time) {
	if !e.busy || now.Before(e.deadline) {
		return
	}
	e.busy = false
	e.batch.finish(now)
	e.snapshot(now, e.batch.idle())
}

func (e *Engine) snapshot(now time.Time, force bool) {
	if n := len(e.reports); !force && n > 0 && now.Sub(e.reports[n-1].At) < snapshotEvery {
		return
	}
	if len(e.reports) >= snapshotLimit {
		e.reports = append(e.reports[:0], e.reports[snapshotLimit/2:]...)
	}
	e.reports = append(e.reports, engine.Load{
		Engine:  e.config.Name,
		At:      now,
		Role:    e.status.Role,
		Running: len(e.batch.decode) + len(e.batch.prefill),
		Waiting: len(e.batch.waiting),
		Queue:   e.batch.pending(),
		Used:    int64(e.batch.used),
		Total:   int64(e.config.Memory),
		Step:    time.Duration(float64(e.step) * e.slow),
		Prefill: e.config.Prefill / e.slow,
		Batch:   e.config.Batch,
	})
}

// report is the load as it was lag ago.
func (e *Engine) report(now time.Time) engine.Load {
	until := now.Add(-e.lag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].At.After(until) {
			r := e.reports[i]
			r.At = until
			return r
		}
	}
	return engine.Load{
		Engine: e.config.Name, At: until, Role: e.status.Role, Total: int64(e.config.Memory),
		Step: time.Duration(e.config.Step), Prefill: e.config.Prefill, Batch: e.config.Batch,
	}
}

// expire drops KV caches that nobody fetched.
func (e *Engine) expire(now time.Time) {
	for _, j := range e.batch.held {
		if now.Sub(j.heldAt) > holdTime {
			e.batch.leave(j, stand.RecordCancel)
		}
	}
	e.snapshot(now, true)
}

// do runs f on the loop and waits for it. Once the engine has stopped it does
// nothing.
func (e *Engine) do(f func(now time.Time)) {
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

func (e *Engine) available() error {
	if e.dead {
		return errDead
	}
	if e.status.Changing {
		return errAway
	}
	return nil
}

// submit takes a job up, or tells why not.
func (e *Engine) submit(j *job) error {
	err := errDead
	e.do(func(now time.Time) { err = e.take(now, j) })
	return err
}

func (e *Engine) take(now time.Time, j *job) error {
	if err := e.available(); err != nil {
		return err
	}
	if !j.hold && e.status.Role == state.RolePrefill {
		return errRole
	}
	if len(e.batch.waiting) >= queueLimit {
		return errFull
	}
	if j.prompt+j.end-j.next > e.config.Memory {
		return errSize
	}
	if e.faults[stand.Truncate] > 0 && !j.hold {
		e.faults[stand.Truncate]--
		j.half = (j.next + j.end + 1) / 2
	}
	if j.attempt == "" {
		j.attempt = "local-" + strconv.FormatUint(e.batch.serial+1, 10)
	}
	e.jobs[j.attempt] = j
	e.batch.submit(j)
	e.snapshot(now, false)
	e.history.Add(stand.Record{At: now, Kind: stand.RecordStart, Attempt: j.attempt})
	return nil
}

// cancel ends an attempt if it still runs.
func (e *Engine) cancel(attempt string) {
	e.do(func(time.Time) {
		if j, ok := e.jobs[attempt]; ok {
			e.batch.drop(j, stand.RecordCancel)
		}
	})
}

func (e *Engine) ended(j *job) {
	if e.jobs[j.attempt] == j {
		delete(e.jobs, j.attempt)
	}
	e.history.Add(stand.Record{Kind: j.reason, Attempt: j.attempt, Tokens: j.next})
}
