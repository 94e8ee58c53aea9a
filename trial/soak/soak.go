// Package soak runs a whole deployment under load and a random schedule of
// faults, and checks the records of callers, operators and simulated backend
// servers for violated invariants.
package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/trial/chaos"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

// Options are the parameters of a run.
type Options struct {
	Bin          string
	Folder       string
	Seed         uint64
	Duration     time.Duration
	MeanFaultGap time.Duration // mean time between two faults
	Callers      int           // callers that stream completions
	OnceCallers  int           // callers that make run-once calls
}

// Report is the outcome of a run.
type Report struct {
	seed          uint64
	length        time.Duration
	faults        map[chaos.Kind]int
	chats         int
	completeChats int
	onceCalls     int
	answeredCalls int
	commands      int
	refused       map[string]int
	orders        int
	codes         map[string]int
	violations    []check.Violation
}

// Seed returns the seed of the run.
func (r *Report) Seed() uint64 { return r.seed }

// Duration returns how long the run took.
func (r *Report) Duration() time.Duration { return r.length }

// Faults returns how many faults of each kind were injected.
func (r *Report) Faults() map[chaos.Kind]int { return r.faults }

// Chats returns how many completions were requested and how many were complete.
func (r *Report) Chats() (all, complete int) { return r.chats, r.completeChats }

// OnceCalls returns how many run-once calls were made and how many got an answer.
func (r *Report) OnceCalls() (all, answered int) { return r.onceCalls, r.answeredCalls }

// Commands returns how many operator commands were accepted.
func (r *Report) Commands() int { return r.commands }

// CommandRefusals returns how many commands were refused, by verb and error code.
func (r *Report) CommandRefusals() map[string]int { return r.refused }

// ErrorCodes returns how many completions ended with each error code.
func (r *Report) ErrorCodes() map[string]int { return r.codes }

// Orders returns how many orders the engines executed.
func (r *Report) Orders() int { return r.orders }

// Violations returns the violated invariants.
func (r *Report) Violations() []check.Violation { return r.violations }

const (
	// propagationLimit is the time within which an accepted configuration must be
	// the current one on all entry instances.
	propagationLimit = 8 * time.Second
	// recoveryTime is how long an instance may take to recover after a fault.
	recoveryTime = 5 * time.Second
	stopTimeout  = 30 * time.Second
)

// run is the state shared by the goroutines of a run.
type run struct {
	options Options
	fleet   *fleet.Fleet
	started time.Time

	mutex       sync.Mutex
	record      check.Record
	restarts    map[string]int
	faulted     map[string]bool // targets that are under a fault
	faultCounts map[chaos.Kind]int

	refusals map[string]int // refused commands by verb and error code
}

// Run starts a deployment, runs the workload and faults of one seed, and
// returns what was found.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, cleanup, err := fleet.Start(ctx, deployment(o))
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	defer cleanup()
	r := &run{
		options: o, fleet: f, started: time.Now(),
		restarts: make(map[string]int), faulted: make(map[string]bool), faultCounts: make(map[chaos.Kind]int),
	}
	r.record.PropagationLimit = propagationLimit
	r.runWorkload(ctx)
	if err := r.collectHistories(ctx); err != nil {
		return nil, err
	}
	report := r.report()
	if err := f.Stop(stopTimeout); err != nil {
		return report, fmt.Errorf("stop fleet: %w", err)
	}
	return report, nil
}

// runWorkload runs callers, operators and faults for the length of the run.
func (r *run) runWorkload(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range r.options.Callers {
		group.Go(func() { r.runChatCaller(ctx, i) })
	}
	for i := range r.options.OnceCallers {
		group.Go(func() { r.runOnceCaller(ctx, i) })
	}
	for _, p := range r.fleet.Entries() {
		group.Go(func() { r.watchVersion(ctx, p) })
	}
	group.Go(func() { r.runOperator(ctx) })
	for _, f := range chaos.Schedule(r.options.Seed, r.scheduleOptions()) {
		group.Go(func() { r.inject(ctx, f) })
	}
	group.Wait()
}

// scheduleOptions returns the options of the fault schedule.
func (r *run) scheduleOptions() chaos.Options {
	o := chaos.Options{
		Length: r.options.Duration, MeanGap: r.options.MeanFaultGap, MaxFaultTime: maxFaultTime, RepairTime: replaceAfter + catchUpTime,
	}
	for _, p := range r.fleet.Keepers() {
		o.Keepers = append(o.Keepers, p.Name())
	}
	for _, p := range r.fleet.Entries() {
		o.Entries = append(o.Entries, p.Name())
	}
	for _, e := range engines() {
		o.Engines = append(o.Engines, e.Name)
	}
	for _, p := range plainServers() {
		o.PlainServers = append(o.PlainServers, p.Name)
	}
	return o
}

// collectHistories reads the histories of the simulated backend servers.
func (r *run) collectHistories(ctx context.Context) error {
	r.record.Engines = make(map[string][]inject.Record)
	r.record.PlainServers = make(map[string][]inject.Record)
	for _, e := range engines() {
		var records []inject.Record
		if err := r.fleet.History(ctx, e.Name, &records); err != nil {
			return fmt.Errorf("history of %s: %w", e.Name, err)
		}
		r.record.Engines[e.Name] = records
	}
	for _, p := range plainServers() {
		var records []inject.Record
		if err := r.fleet.History(ctx, p.Name, &records); err != nil {
			return fmt.Errorf("history of %s: %w", p.Name, err)
		}
		r.record.PlainServers[p.Name] = records
	}
	return nil
}

func (r *run) report() *Report {
	report := &Report{
		seed: r.options.Seed, length: time.Since(r.started), faults: r.faultCounts,
		chats: len(r.record.Chats), onceCalls: len(r.record.OnceCalls), commands: len(r.record.Commands), refused: r.refusals,
		codes:      make(map[string]int),
		violations: r.record.Violations(),
	}
	for _, records := range r.record.Engines {
		for _, v := range records {
			if v.Kind == inject.RecordApplied {
				report.orders++
			}
		}
	}
	for _, c := range r.record.Chats {
		if c.Complete {
			report.completeChats++
		}
		if c.ErrorReported {
			report.codes[c.Code]++
		}
	}
	for _, c := range r.record.OnceCalls {
		if last := c.Attempts[len(c.Attempts)-1]; last.Status == statusOK {
			report.answeredCalls++
		}
	}
	return report
}
