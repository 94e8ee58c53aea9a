package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"verbenahaven.example/trial/size"
)

func init() {
	register(&sizeCmd{})
}

// sizeCmd measures the idle resource usage of instances by deployment size.
type sizeCmd struct {
	bin    string
	window time.Duration
	only   string
}

func (*sizeCmd) Name() string     { return "size" }
func (*sizeCmd) Synopsis() string { return "measure what instances cost at rest, by size" }
func (*sizeCmd) Usage() string {
	return "trial size [-window D] [-only AXIS]\n\n" +
		"Starts deployments of several sizes, prints a row for each role of each, and the\n" +
		"slopes by entry instances, engines, keepers and accounts.\n"
}

func (c *sizeCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "folder of the programs")
	f.StringVar(&c.only, "only", "", "axis to measure, all if empty: entries, engines, keepers or accounts")
	f.DurationVar(&c.window, "window", 5*time.Second, "length of each measurement")
}

// baseSize is the size from which each axis varies one quantity.
var baseSize = size.Point{Keepers: 3, Entries: 6, Engines: 12, Accounts: 0}

// axes lists the sizes to measure; each axis varies one quantity.
var axes = []struct {
	name   string
	values []int
	point  func(n int) size.Point
}{
	{"entries", []int{3, 6, 12, 24, 48}, func(n int) size.Point { p := baseSize; p.Entries = n; return p }},
	{"engines", []int{6, 12, 48, 96, 192}, func(n int) size.Point { p := baseSize; p.Engines = n; return p }},
	{"keepers", []int{3, 5, 7}, func(n int) size.Point { p := baseSize; p.Keepers = n; return p }},
	{"accounts", []int{0, 500, 1900}, func(n int) size.Point { p := baseSize; p.Accounts = n; return p }},
}

func (c *sizeCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fmt.Println("axis,n,role,resident_mb,cpu_share,sent_bytes_s,packets_s,spread_ms")
	for _, a := range axes {
		if c.only != "" && c.only != a.name {
			continue
		}
		if err := c.measureAxis(ctx, a.name, a.values, a.point); err != nil {
			fmt.Fprintln(os.Stderr, "size: failed:", err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// settleTime is the wait for a new deployment to become idle.
const settleTime = 3 * time.Second

const changeCount = 5

func (c *sizeCmd) measureAxis(ctx context.Context, name string, values []int, point func(int) size.Point) error {
	byRole := make(map[string]*series)
	for _, n := range values {
		o := size.Options{Bin: c.bin, SettleTime: settleTime, Window: c.window, Changes: changeCount}
		samples, err := size.Measure(ctx, o, point(n))
		if err != nil {
			return fmt.Errorf("%s %d: %w", name, n, err)
		}
		for _, s := range samples {
			fmt.Printf("%s,%d,%s,%.1f,%.4f,%.0f,%.1f,%d\n", name, n, s.Role, s.Resident, s.CPU, s.Sent, s.Packets, s.Propagation.Milliseconds())
			if byRole[s.Role] == nil {
				byRole[s.Role] = &series{}
			}
			byRole[s.Role].add(n, s)
		}
	}
	for _, role := range []string{"keepd", "entryd"} {
		byRole[role].print(name, role)
	}
	return nil
}

// series holds the measured points of one role on one axis.
type series struct {
	x, resident, cpu, sent []float64
}

func (l *series) add(n int, s size.Sample) {
	l.x = append(l.x, float64(n))
	l.resident = append(l.resident, s.Resident)
	l.cpu = append(l.cpu, s.CPU)
	l.sent = append(l.sent, s.Sent)
}

func (l *series) print(axis, role string) {
	for _, q := range []struct {
		name string
		y    []float64
	}{{"MB resident", l.resident}, {"share of a core", l.cpu}, {"bytes/s sent", l.sent}} {
		s := size.Fit(l.x, q.y)
		fmt.Printf("slope: %s by %s: %.4g %s + %.4g each, error %.4g\n", role, axis, s.Intercept, q.name, s.Slope, s.MaxError)
	}
}
