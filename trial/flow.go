package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/flow"
	"verbenahaven.example/trial/report"
)

func init() {
	register(&flowCmd{})
}

// flowCmd simulates the scheduler under load at several sizes.
type flowCmd struct {
	out    string
	seed   uint64
	length time.Duration
}

func (*flowCmd) Name() string     { return "flow" }
func (*flowCmd) Synopsis() string { return "simulate the scheduler under load, by size" }
func (*flowCmd) Usage() string {
	return "trial flow [-seed N] [-length D] [-out FOLDER]\n\n" +
		"Simulates long prompts with short answers on fleets of 30 to 1,000 instances, at\n" +
		"several loads, with and without a broker in each data centre, then prompts and\n" +
		"questions on engines with small batches that are uneven and slow down. Prints what\n" +
		"callers got; with -out it also draws FOLDER/flow.svg.\n"
}

func (c *flowCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "folder for the plot; none if empty")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the simulation")
	f.DurationVar(&c.length, "length", 4*time.Second, "simulated length of each load")
}

// flowSizes are the numbers of instances; an engine serves four of them.
var flowSizes = []int{30, 100, 300, 1000}

// flowLoads are the loads, relative to what the engines can serve.
var flowLoads = []float64{0.5, 0.9, 1.2, 1.6}

func (c *flowCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var rows []report.FlowRow
	fmt.Println("instances,engines,brokers,load,asked,on_time,late,refused,returned,mean_ms,crossed")
	for _, n := range flowSizes {
		for _, brokers := range []bool{true, false} {
			for _, relative := range flowLoads {
				if ctx.Err() != nil {
					return subcommands.ExitFailure
				}
				fleet, load := c.sized(n, brokers, relative)
				r := flow.Simulate(fleet, load, c.seed)
				fmt.Printf("%d,%d,%v,%.1f,%d,%.3f,%d,%d,%d,%d,%d\n", n, fleet.Engines, brokers, relative, r.Asked, r.OnTimeShare(), r.Late, r.Refused,
					r.Returned, (r.Wait / time.Duration(max(1, r.OnTime+r.Late))).Milliseconds(), r.Crossed)
				rows = append(rows, report.FlowRow{Instances: n, Brokers: brokers, Load: relative, OnTime: r.OnTimeShare()})
			}
		}
	}
	if !c.uneven(ctx) {
		return subcommands.ExitFailure
	}
	if c.out == "" {
		return subcommands.ExitSuccess
	}
	if err := report.PlotFlow(filepath.Join(c.out, "flow.svg"), rows); err != nil {
		fmt.Fprintln(os.Stderr, "flow: failed:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// uneven simulates prompts and questions on small batches, on alike and uneven engines,
// with and without slowdowns.
func (c *flowCmd) uneven(ctx context.Context) bool {
	fmt.Println("uneven,fast_decode,slowdowns,prompts,on_time,questions,answered,paused")
	for _, tc := range []struct{ uneven, fast, slowdowns bool }{{}, {slowdowns: true}, {uneven: true}, {uneven: true, slowdowns: true}, {true, true, true}} {
		if ctx.Err() != nil {
			return false
		}
		fleet, load := flow.SmallEngines()
		fleet.Uneven, fleet.FastDecode, fleet.Slowdowns = tc.uneven, tc.fast, tc.slowdowns
		r := flow.Simulate(fleet, load, c.seed)
		fmt.Printf("%v,%v,%v,%d,%.3f,%d,%.3f,%.3f\n", tc.uneven, tc.fast, tc.slowdowns, r.Asked, r.OnTimeShare(), r.Questions, r.AnsweredShare(),
			float64(r.Paused)/float64(max(1, r.Questions)))
	}
	return true
}

// sized returns a fleet of n instances, and a load relative to its capacity.
func (c *flowCmd) sized(n int, brokers bool, relative float64) (flow.Fleet, flow.Load) {
	const centres, instancesPerEngine = 5, 4
	f := flow.Fleet{
		Centres: centres, Instances: n, Engines: max(2*centres, n/instancesPerEngine), PrefillShare: 0.6, Rate: 300_000,
		Delay: 5 * time.Millisecond, Start: 10 * time.Millisecond, Step: 600 * time.Microsecond,
		Near: 100 * time.Microsecond, Far: 500 * time.Microsecond, Brokers: brokers,
		Spec: state.EngineSpec{BatchSize: 16, KVTokens: 305_000, KVBytesPerToken: 131_072, LinkMbps: 4_400_000, MaxTokensPerEvent: 62},
	}
	l := flow.Load{
		Shared: 3800, Parts: 60 * f.Engines, Own: 2900, MaxOutput: 100,
		Target: 200 * time.Millisecond, TimeLeft: 2 * time.Second, Length: c.length,
	}
	l.Rate = relative * f.Capacity(&l)
	return f, l
}
