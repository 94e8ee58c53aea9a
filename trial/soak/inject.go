package soak

import (
	"context"
	"fmt"
	"os"
	"time"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/chaos"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

const (
	healWait = 10 * time.Second
	lagFault = "2s"
	manyBad  = 3 // events or streams that a fault on answers hits
)

// inject waits for the time of a fault, brings it about and heals it.
func (r *run) inject(ctx context.Context, f chaos.Fault) {
	clock.Sleep(ctx, time.Until(r.started.Add(f.At())))
	if ctx.Err() != nil || !r.take(f) {
		return
	}
	defer r.give(f)
	from := time.Now()
	r.begin(ctx, f)
	clock.Sleep(ctx, f.For())
	// What was broken is healed even when the run ends.
	heal, cancel := context.WithTimeout(context.WithoutCancel(ctx), healWait)
	defer cancel()
	r.end(heal, f)
	r.span(f, from)
}

// take claims the target of a fault and counts the fault. It fails while an
// earlier one goes on: a graceful stop may take longer than was scheduled.
func (r *run) take(f chaos.Fault) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.taken[f.Target()] {
		return false
	}
	r.taken[f.Target()] = true
	r.faults[f.Kind()]++
	return true
}

func (r *run) give(f chaos.Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.taken, f.Target())
}

// span notes when an instance was under a fault. Planned stops are none until
// the process has ended; then its restart is.
func (r *run) span(f chaos.Fault, from time.Time) {
	if f.Kind() == chaos.StopEntry {
		return // noted by stopEntry
	}
	r.note(f.Target(), from)
}

func (r *run) note(name string, from time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Spans = append(r.record.Spans, check.Span{Name: name, From: from, To: time.Now().Add(settle)})
}

func (r *run) begin(ctx context.Context, f chaos.Fault) {
	p := r.fleet.Process(f.Target())
	switch f.Kind() {
	case chaos.KillKeep, chaos.KillEntry, chaos.WipeKeep:
		p.Kill()
	case chaos.PauseKeep, chaos.PauseEntry:
		p.Pause()
	case chaos.CutKeep, chaos.CutEntry:
		r.cut(ctx, f.Target(), "cut")
	case chaos.CutKeepOut:
		r.cut(ctx, f.Target(), "cut_up")
	case chaos.CutKeepIn:
		r.cut(ctx, f.Target(), "cut_down")
	case chaos.StopEntry:
		r.stopEntry(p)
	case chaos.Crash:
		r.fault(ctx, f.Target(), "crash", "")
	case chaos.Lag:
		r.fault(ctx, f.Target(), "lag", lagFault)
	case chaos.Silence:
		r.fault(ctx, fleet.WireName(f.Target()), "silence", "")
	case chaos.CutWire:
		r.fault(ctx, fleet.WireName(f.Target()), "cut", "")
	case chaos.Cross, chaos.Late, chaos.Twice, chaos.Short, chaos.Lose:
		r.fault(ctx, f.Target(), string(f.Kind()), "")
	case chaos.Drain:
		r.command(ctx, planner, r.serial(f), "drain engine "+f.Target())
	case chaos.Assign:
		r.command(ctx, planner, r.serial(f), fmt.Sprintf("assign engine %s role %s", f.Target(), r.otherRole(f.Target())))
	case chaos.Race:
		r.race(ctx, uint64(f.At()))
	}
}

func (r *run) end(ctx context.Context, f chaos.Fault) {
	p := r.fleet.Process(f.Target())
	switch f.Kind() {
	case chaos.KillKeep:
		r.restart(p)
	case chaos.WipeKeep:
		_ = os.RemoveAll(p.Folder())
		r.restart(p)
	case chaos.KillEntry, chaos.StopEntry:
		r.restart(p)
	case chaos.PauseKeep, chaos.PauseEntry:
		p.Resume()
	case chaos.CutKeep, chaos.CutKeepOut, chaos.CutKeepIn, chaos.CutEntry:
		r.cut(ctx, f.Target(), "heal")
	case chaos.Crash:
		r.fault(ctx, f.Target(), "revive", "")
	case chaos.Lag:
		r.fault(ctx, f.Target(), "heal", "")
	case chaos.Silence, chaos.CutWire:
		r.fault(ctx, fleet.WireName(f.Target()), "heal", "")
	case chaos.Drain:
		r.command(ctx, planner, r.serial(f)+1, fmt.Sprintf("declare engine %s url %q", f.Target(), r.fleet.Front(f.Target())))
	}
}

// serial is the number of the command that a fault stands for.
func (r *run) serial(f chaos.Fault) uint64 {
	return uint64(f.At()) &^ 1
}

// otherRole returns the role that an engine didn't get last.
func (r *run) otherRole(engine string) state.Role {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	role := state.RoleDecode
	if r.roles[engine] == state.RoleDecode {
		role = state.RolePrefill
	}
	r.roles[engine] = role
	return role
}

// stopEntry stops an entry instance as planned: until it has ended, it must
// cut nothing.
func (r *run) stopEntry(p *fleet.Process) {
	err := p.Stop(stopLimit)
	from := time.Now()
	if err != nil {
		r.fail(err)
	}
	r.note(p.Name(), from)
}

func (r *run) restart(p *fleet.Process) {
	r.mutex.Lock()
	r.lives[p.Name()]++
	r.mutex.Unlock()
	if err := p.Start(); err != nil {
		r.fail(err)
	}
	r.note(p.Name(), time.Now())
}

func (r *run) cut(ctx context.Context, name, kind string) {
	if err := r.fleet.Cut(ctx, name, kind); err != nil {
		r.fail(err)
	}
}

func (r *run) fault(ctx context.Context, target, kind, value string) {
	err := r.fleet.Fault(ctx, fleet.Fault{Target: target, Kind: kind, Value: value, Count: manyBad})
	if err != nil {
		r.fail(err)
	}
}

// fail notes what did not go as it must.
func (r *run) fail(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Failures = append(r.record.Failures, err.Error())
}
