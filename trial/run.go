package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/google/subcommands"

	"verbenahaven.example/trial/bench"
	"verbenahaven.example/trial/report"
)

const folderMode = 0o755

func init() {
	register(&runCmd{})
}

// runCmd compares the policies under load.
type runCmd struct {
	bin       string
	out       string
	seeds     int
	firstSeed int64
	jobs      int
	only      string
	policies  string
}

// Name implements subcommands.Command.
func (*runCmd) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCmd) Synopsis() string { return "compare the policies under load" }

// Usage implements subcommands.Command.
func (*runCmd) Usage() string {
	return "trial run [-bin FOLDER] [-out FOLDER] [-seeds N]\n\n" +
		"Offers the same arrivals to each policy, prints a table and writes CSV and plots.\n"
}

// SetFlags implements subcommands.Command.
func (r *runCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.bin, "bin", "bin", "folder of the programs")
	f.StringVar(&r.out, "out", "out", "folder for the table and the plots")
	f.IntVar(&r.seeds, "seeds", 1, "number of seeds")
	f.Int64Var(&r.firstSeed, "seed", 1, "first seed")
	f.IntVar(&r.jobs, "jobs", 8, "deployments that run at the same time")
	f.StringVar(&r.only, "only", "", "deployments to run, all if empty")
	f.StringVar(&r.policies, "policies", "", "policies to run, all if empty")
}

// Execute implements subcommands.Command.
func (r *runCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := r.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// task is one benchmark run and its result.
type task struct {
	deployment bench.Deployment
	policy     bench.Policy
	seed       int64
	result     *bench.Result
	err        error
}

func (r *runCmd) run(ctx context.Context) error {
	if err := os.MkdirAll(r.out, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	tasks := r.tasks()
	r.runTasks(ctx, tasks)
	var errs []error
	groups := make(map[string][]*bench.Result)
	for _, t := range tasks {
		if t.err != nil {
			errs = append(errs, t.err)
			continue
		}
		key := t.deployment.Name + "/" + t.policy.Name
		groups[key] = append(groups[key], t.result)
	}
	if err := r.report(tasks, groups); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// tasks returns the runs of all seeds: each deployment under each policy, and
// under overload with the system's own policy only.
func (r *runCmd) tasks() []*task {
	var tasks []*task
	for seed := r.firstSeed; seed < r.firstSeed+int64(r.seeds); seed++ {
		for _, d := range []bench.Deployment{bench.Split(), bench.Carpatia()} {
			for _, p := range bench.Policies() {
				tasks = r.appendTask(tasks, d, p, seed)
			}
		}
		for _, d := range []bench.Deployment{bench.Split(), bench.Carpatia()} {
			tasks = r.appendTask(tasks, bench.Overload(d), bench.Policies()[0], seed)
		}
	}
	return tasks
}

func (r *runCmd) appendTask(tasks []*task, d bench.Deployment, p bench.Policy, seed int64) []*task {
	if !listed(r.only, d.Name) || !listed(r.policies, p.Name) {
		return tasks
	}
	return append(tasks, &task{deployment: d, policy: p, seed: seed})
}

func listed(list, name string) bool {
	if list == "" {
		return true
	}
	for _, s := range strings.Split(list, ",") {
		if s == name {
			return true
		}
	}
	return false
}

func (r *runCmd) runTasks(ctx context.Context, tasks []*task) {
	next := make(chan *task)
	var group sync.WaitGroup
	for range r.jobs {
		group.Go(func() {
			for t := range next {
				t.result, t.err = bench.Run(ctx, t.deployment, t.policy, t.seed, r.bin)
			}
		})
	}
	for _, t := range tasks {
		next <- t
	}
	close(next)
	group.Wait()
}

// report writes the tables and plots, then prints a summary line for each
// deployment.
func (r *runCmd) report(tasks []*task, groups map[string][]*bench.Result) error {
	var rows []report.Row
	var names []string
	byName := make(map[string][]report.Row)
	done := make(map[string]bool)
	for _, t := range tasks {
		key := t.deployment.Name + "/" + t.policy.Name
		if done[key] || len(groups[key]) == 0 {
			continue
		}
		done[key] = true
		if byName[t.deployment.Name] == nil {
			names = append(names, t.deployment.Name)
		}
		newRows := report.Rows(groups[key])
		rows = append(rows, newRows...)
		byName[t.deployment.Name] = append(byName[t.deployment.Name], newRows...)
	}
	if err := r.writeResults(tasks, rows); err != nil {
		return err
	}
	for _, name := range names {
		if err := report.Plot(r.out, name, byName[name]); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	for _, name := range names {
		if groups[name+"/threshold"] != nil {
			fmt.Println(summary(name, byName[name], groups))
		}
	}
	return nil
}

func (r *runCmd) writeResults(tasks []*task, rows []report.Row) error {
	if err := report.Table(os.Stdout, rows); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	c, err := os.Create(filepath.Join(r.out, "trial.csv"))
	if err != nil {
		return fmt.Errorf("create CSV: %w", err)
	}
	defer func() { _ = c.Close() }()
	if err := report.CSV(c, rows); err != nil {
		return fmt.Errorf("CSV: %w", err)
	}
	f, err := os.Create(filepath.Join(r.out, "details.txt"))
	if err != nil {
		return fmt.Errorf("create details: %w", err)
	}
	defer func() { _ = f.Close() }()
	for _, t := range tasks {
		if t.result == nil {
			continue
		}
		if err := report.Details(f, t.result); err != nil {
			return fmt.Errorf("details: %w", err)
		}
	}
	return nil
}

// summary returns the summary line of a deployment.
func summary(name string, rows []report.Row, groups map[string][]*bench.Result) string {
	totals := make(map[string]report.Row)
	for _, r := range rows {
		if r.Segment == report.All {
			totals[r.Policy] = r
		}
	}
	truncated := 0
	for key, results := range groups {
		if !strings.HasPrefix(key, name+"/") {
			continue
		}
		for _, v := range results {
			_, _, n, _ := v.Outcomes.Total(func(int) bool { return false })
			truncated += n
		}
	}
	value := func(policy string, of func(report.Row) float64) string {
		row, ran := totals[policy]
		if !ran {
			return "-"
		}
		return fmt.Sprintf("%.3g", of(row))
	}
	goodput := func(r report.Row) float64 { return r.Goodput }
	changes := func(r report.Row) float64 { return r.Changes }
	return fmt.Sprintf("trial: %s goodput=%s fixed=%s threshold=%s load=%s hindsight=%s changes=%s threshold_changes=%s cut=%d",
		name, value("goodput", goodput), value("fixed", goodput), value("threshold", goodput), value("load", goodput),
		value("goodput", func(r report.Row) float64 { return r.Hindsight }), value("goodput", changes), value("threshold", changes), truncated)
}
