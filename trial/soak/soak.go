// Package soak runs a whole deployment under load and a random schedule of
// faults, and checks what all sides recorded.
package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/chaos"
	"verbenahaven.example/trial/check"
	"verbenahaven.example/trial/fleet"
)

// Options of a run.
type Options struct {
	Bin     string
	Folder  string
	Seed    uint64
	Length  time.Duration
	Gap     time.Duration // mean time between two faults
	Callers int           // that stream completions
	Filers  int           // that make run-once calls
}

// Report is the outcome of a run.
type Report struct {
	seed       uint64
	length     time.Duration
	faults     map[chaos.Kind]int
	chats      int
	whole      int
	filings    int
	filed      int
	commands   int
	refused    map[string]int
	orders     int
	codes      map[string]int
	violations []check.Violation
}

// Seed returns the seed of the run.
func (r *Report) Seed() uint64 { return r.seed }

// Length returns how long the run took.
func (r *Report) Length() time.Duration { return r.length }

// Faults returns how many faults of each kind were injected.
func (r *Report) Faults() map[chaos.Kind]int { return r.faults }

// Chats returns how many completions were asked for and how many came whole.
func (r *Report) Chats() (all, whole int) { return r.chats, r.whole }

// Filings returns how many run-once calls were made and how many got an answer.
func (r *Report) Filings() (all, answered int) { return r.filings, r.filed }

// Commands returns how many commands of operators were accepted.
func (r *Report) Commands() int { return r.commands }

// Refused returns how often each answer refused a command.
func (r *Report) Refused() map[string]int { return r.refused }

// Codes returns how many completions ended with each error code.
func (r *Report) Codes() map[string]int { return r.codes }

// Orders returns how many orders the engines executed.
func (r *Report) Orders() int { return r.orders }

// Violations returns what must never happen and did.
func (r *Report) Violations() []check.Violation { return r.violations }

const (
	// forceLimit is the time in which an accepted configuration must be in
	// force everywhere.
	forceLimit = 8 * time.Second
	// settle is the time that an instance under a fault has to recover.
	settle    = 5 * time.Second
	stopLimit = 30 * time.Second
)

// run is the state of a run that its goroutines share.
type run struct {
	options Options
	fleet   *fleet.Fleet
	started time.Time

	mutex  sync.Mutex
	record check.Record
	lives  map[string]int
	taken  map[string]bool // targets under a fault
	faults map[chaos.Kind]int
	roles  map[string]state.Role // of each engine, as last assigned

	refused map[string]int // answers to commands that were not accepted
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, cleanup, err := fleet.Start(ctx, deployment(o))
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	defer cleanup()
	r := &run{
		options: o, fleet: f, started: time.Now(),
		lives: make(map[string]int), taken: make(map[string]bool), faults: make(map[chaos.Kind]int),
		roles: make(map[string]state.Role),
	}
	for _, e := range engines() {
		r.roles[e.Name] = e.Role
	}
	r.record.Force = forceLimit
	r.load(ctx)
	if err := r.collect(ctx); err != nil {
		return nil, err
	}
	report := r.report()
	if err := f.Stop(stopLimit); err != nil {
		return report, fmt.Errorf("stop fleet: %w", err)
	}
	return report, nil
}

// load runs callers, operators and faults until the time is over.
func (r *run) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Length)
	defer cancel()
	var group sync.WaitGroup
	for i := range r.options.Callers {
		group.Go(func() { r.chat(ctx, i) })
	}
	for i := range r.options.Filers {
		group.Go(func() { r.file(ctx, i) })
	}
	for _, p := range r.fleet.Entries() {
		group.Go(func() { r.watch(ctx, p) })
	}
	group.Go(func() { r.operate(ctx) })
	for _, f := range chaos.Schedule(r.options.Seed, r.bounds()) {
		group.Go(func() { r.inject(ctx, f) })
	}
	group.Wait()
}

// bounds are the options of the schedule.
func (r *run) bounds() chaos.Options {
	o := chaos.Options{
		Length: r.options.Length, Gap: r.options.Gap, Longest: longestFault, Repair: replaceAfter + repairTime,
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
	for _, p := range plains() {
		o.Plains = append(o.Plains, p.Name)
	}
	return o
}

// collect reads the histories of the stand-ins.
func (r *run) collect(ctx context.Context) error {
	r.record.Engines = make(map[string][]stand.Record)
	r.record.Plains = make(map[string][]stand.Record)
	for _, e := range engines() {
		var records []stand.Record
		if err := r.fleet.History(ctx, e.Name, &records); err != nil {
			return fmt.Errorf("history of %s: %w", e.Name, err)
		}
		r.record.Engines[e.Name] = records
	}
	for _, p := range plains() {
		var records []stand.Record
		if err := r.fleet.History(ctx, p.Name, &records); err != nil {
			return fmt.Errorf("history of %s: %w", p.Name, err)
		}
		r.record.Plains[p.Name] = records
	}
	return nil
}

func (r *run) report() *Report {
	report := &Report{
		seed: r.options.Seed, length: time.Since(r.started), faults: r.faults,
		chats: len(r.record.Chats), filings: len(r.record.Filings), commands: len(r.record.Accepts), refused: r.refused,
		codes:      make(map[string]int),
		violations: r.record.Violations(),
	}
	for _, records := range r.record.Engines {
		for _, v := range records {
			if v.Kind == stand.RecordChanged {
				report.orders++
			}
		}
	}
	for _, c := range r.record.Chats {
		if c.Whole {
			report.whole++
		}
		if c.Told {
			report.codes[c.Code]++
		}
	}
	for _, f := range r.record.Filings {
		if last := f.Tries[len(f.Tries)-1]; last.Status == statusOK {
			report.filed++
		}
	}
	return report
}
