package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/google/subcommands"

	"verbenahaven.example/trial/chaos"
	"verbenahaven.example/trial/soak"
)

func init() {
	register(&soakCmd{})
}

// soakCmd runs deployments under load and random faults.
type soakCmd struct {
	bin         string
	folder      string
	seed        uint64
	minutes     float64
	length      time.Duration
	gap         time.Duration
	callers     int
	onceCallers int
}

func (*soakCmd) Name() string     { return "soak" }
func (*soakCmd) Synopsis() string { return "run a deployment under load and random faults" }
func (*soakCmd) Usage() string {
	return "trial soak [-seed N] [-minutes M] [-length D]\n\n" +
		"Runs one seed after another until the minutes are over, each for a length.\n" +
		"Prints the faults injected by kind and each violation. To run one seed again:\n" +
		"trial soak -seed N -minutes 0 -length D\n"
}

func (c *soakCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "folder of the programs")
	f.StringVar(&c.folder, "folder", "", "folder that keeps settings, logs and data of failed runs; a temporary one if empty")
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.Float64Var(&c.minutes, "minutes", 0, "minutes after which no further seed is started")
	f.DurationVar(&c.length, "length", time.Minute, "length of the run of one seed")
	f.DurationVar(&c.gap, "gap", 400*time.Millisecond, "mean time between two faults")
	f.IntVar(&c.callers, "callers", 20, "callers that stream completions")
	f.IntVar(&c.onceCallers, "filers", 4, "callers that make run-once calls")
}

func (c *soakCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	started := time.Now()
	violating := 0
	for n := c.seed; ; n++ {
		failed, err := c.runSeed(ctx, n)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak: failed:", err)
			return subcommands.ExitFailure
		}
		if failed {
			violating++
		}
		if time.Since(started) >= time.Duration(c.minutes*float64(time.Minute)) || ctx.Err() != nil {
			fmt.Printf("soak: seeds %d to %d, %s, %d with violations\n", c.seed, n, time.Since(started).Round(time.Second), violating)
			break
		}
	}
	if violating > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runSeed runs one seed and reports whether it violated a rule.
func (c *soakCmd) runSeed(ctx context.Context, seed uint64) (bool, error) {
	folder := filepath.Join(c.folder, fmt.Sprintf("seed%d", seed))
	if c.folder == "" {
		temporary, err := os.MkdirTemp("", "verbenahaven-soak-")
		if err != nil {
			return false, fmt.Errorf("make folder: %w", err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	r, err := soak.Run(ctx, soak.Options{
		Bin: c.bin, Folder: folder, Seed: seed, Duration: c.length, MeanFaultGap: c.gap, Callers: c.callers, OnceCallers: c.onceCallers,
	})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	c.print(r)
	return len(r.Violations()) > 0, nil
}

func (c *soakCmd) print(r *soak.Report) {
	chats, complete := r.Chats()
	onceCalls, answered := r.OnceCalls()
	fmt.Printf("soak: seed %d, %s: %d of %d chats whole, %d of %d filings answered, %d commands, %d orders, faults %s\n",
		r.Seed(), r.Duration().Round(time.Second), complete, chats, answered, onceCalls, r.Commands(), r.Orders(), formatCounts(r.Faults()))
	for code, n := range r.ErrorCodes() {
		fmt.Printf("soak: seed %d: completions refused %d times: %s\n", r.Seed(), n, code)
	}
	for refusal, n := range r.CommandRefusals() {
		fmt.Printf("soak: seed %d: refused %d times: %s\n", r.Seed(), n, strings.Join(strings.Fields(refusal), " "))
	}
	for _, v := range r.Violations() {
		fmt.Printf("soak: seed %d: violation: %s\n", r.Seed(), v)
	}
	if len(r.Violations()) > 0 {
		fmt.Printf("soak: to run it again: trial soak -seed %d -length %s -gap %s -callers %d -filers %d\n",
			r.Seed(), c.length, c.gap, c.callers, c.onceCallers)
	}
}

func formatCounts(faults map[chaos.Kind]int) string {
	names := make([]string, 0, len(faults))
	for k, n := range faults {
		names = append(names, fmt.Sprintf("%s=%d", k, n))
	}
	sort.Strings(names)
	return fmt.Sprint(names)
}
