package soak

import (
	"context"
	"fmt"
	"os"
	"time"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/trial/chaos"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

const (
	healTimeout = 10 * time.Second
	reportLag   = "2s"
	badEvents   = 3 // events or streams hit by one fault on answers
)

// inject waits for the scheduled time of a fault, injects it and clears it when
// its duration is over.
func (r *run) inject(ctx context.Context, f chaos.Fault) {
	clock.Sleep(ctx, time.Until(r.started.Add(f.At())))
	if ctx.Err() != nil || !r.claimTarget(f) {
		return
	}
	defer r.releaseTarget(f)
	from := time.Now()
	r.startFault(ctx, f)
	clock.Sleep(ctx, f.Duration())
	// Clear the fault even when the run has ended.
	clearCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), healTimeout)
	defer cancel()
	r.clearFault(clearCtx, f)
	r.recordFault(f, from)
}

// claimTarget claims the target of a fault and counts the fault. It reports
// false while an earlier fault on the target goes on: a graceful stop may take
// longer than scheduled.
func (r *run) claimTarget(f chaos.Fault) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faulted[f.Target()] {
		return false
	}
	r.faulted[f.Target()] = true
	r.faultCounts[f.Kind()]++
	return true
}

func (r *run) releaseTarget(f chaos.Fault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.faulted, f.Target())
}

// recordFault records when an instance was under a fault. A planned stop counts
// as a fault only from the end of the process until its restart.
func (r *run) recordFault(f chaos.Fault, from time.Time) {
	if f.Kind() == chaos.StopEntry {
		return // recorded by stopEntry
	}
	r.addSpan(f.Target(), from)
}

// addSpan records a fault from a time until now, and the recovery after it.
func (r *run) addSpan(name string, from time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.FaultSpans = append(r.record.FaultSpans, check.FaultSpan{Name: name, From: from, To: time.Now().Add(recoveryTime)})
}

func (r *run) startFault(ctx context.Context, f chaos.Fault) {
	p := r.fleet.Process(f.Target())
	switch f.Kind() {
	case chaos.KillKeeper, chaos.KillEntry, chaos.WipeKeeper:
		p.Kill()
	case chaos.PauseKeeper, chaos.PauseEntry:
		p.Pause()
	case chaos.PartitionKeeper, chaos.PartitionEntry:
		r.setPartition(ctx, f.Target(), "cut")
	case chaos.PartitionKeeperOut:
		r.setPartition(ctx, f.Target(), "cut_up")
	case chaos.PartitionKeeperIn:
		r.setPartition(ctx, f.Target(), "cut_down")
	case chaos.StopEntry:
		r.stopEntry(p)
	case chaos.CrashEngine:
		r.setFault(ctx, f.Target(), "crash", "")
	case chaos.LagReports:
		r.setFault(ctx, f.Target(), "lag", reportLag)
	case chaos.StallConns:
		r.setFault(ctx, fleet.BackendProxyName(f.Target()), "silence", "")
	case chaos.PartitionBackend:
		r.setFault(ctx, fleet.BackendProxyName(f.Target()), "cut", "")
	case chaos.SwapEvents, chaos.StaleEvent, chaos.DuplicateEvent, chaos.TruncateStream, chaos.DropAnswer:
		r.setFault(ctx, f.Target(), string(f.Kind()), "")
	case chaos.DrainEngine:
		r.sendCommand(ctx, plannerOperator, r.commandNumber(f), "drain engine "+f.Target())
	case chaos.AssignRole:
		r.assignRole(ctx, f.Target(), r.commandNumber(f))
	case chaos.RaceCommands:
		r.raceCommands(ctx, uint64(f.At()))
	}
}

func (r *run) clearFault(ctx context.Context, f chaos.Fault) {
	p := r.fleet.Process(f.Target())
	switch f.Kind() {
	case chaos.KillKeeper:
		r.restart(p)
	case chaos.WipeKeeper:
		_ = os.RemoveAll(p.DataFolder())
		r.restart(p)
	case chaos.KillEntry, chaos.StopEntry:
		r.restart(p)
	case chaos.PauseKeeper, chaos.PauseEntry:
		p.Resume()
	case chaos.PartitionKeeper, chaos.PartitionKeeperOut, chaos.PartitionKeeperIn, chaos.PartitionEntry:
		r.setPartition(ctx, f.Target(), "heal")
	case chaos.CrashEngine:
		r.setFault(ctx, f.Target(), "revive", "")
	case chaos.LagReports:
		r.setFault(ctx, f.Target(), "heal", "")
	case chaos.StallConns, chaos.PartitionBackend:
		r.setFault(ctx, fleet.BackendProxyName(f.Target()), "heal", "")
	case chaos.DrainEngine:
		r.sendCommand(ctx, plannerOperator, r.commandNumber(f)+1, fmt.Sprintf("declare engine %s url %q", f.Target(), r.fleet.BackendURL(f.Target())))
	}
}

// commandNumber returns the number of the operator command that a fault sends.
// It is even; the command that clears the fault uses the next number.
func (r *run) commandNumber(f chaos.Fault) uint64 {
	return uint64(f.At()) &^ 1
}

// stopEntry stops an entry instance gracefully. Only the time after the process
// has ended counts as a fault: until then no request may be cut.
func (r *run) stopEntry(p *fleet.Process) {
	err := p.Stop(stopTimeout)
	from := time.Now()
	if err != nil {
		r.addFailure(err)
	}
	r.addSpan(p.Name(), from)
}

func (r *run) restart(p *fleet.Process) {
	r.mutex.Lock()
	r.restarts[p.Name()]++
	r.mutex.Unlock()
	if err := p.Start(); err != nil {
		r.addFailure(err)
	}
	r.addSpan(p.Name(), time.Now())
}

func (r *run) setPartition(ctx context.Context, name, kind string) {
	if err := r.fleet.SetPartition(ctx, name, kind); err != nil {
		r.addFailure(err)
	}
}

func (r *run) setFault(ctx context.Context, target, kind, value string) {
	err := r.fleet.InjectFault(ctx, fleet.Fault{Target: target, Kind: kind, Value: value, Count: badEvents})
	if err != nil {
		r.addFailure(err)
	}
}

// addFailure records a fault or planned stop that failed.
func (r *run) addFailure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.record.Failures = append(r.record.Failures, err.Error())
}
