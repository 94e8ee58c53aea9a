// Package size measures what the instances of a deployment cost at rest, by
// its size, and fits the slopes.
package size

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

// Point is one size of a deployment.
type Point struct {
	Keepers  int
	Entries  int
	Engines  int
	Accounts int
}

// Sample is what one point costs. Figures are means over the instances of a
// role.
type Sample struct {
	Point
	Role     string        // keepd or entryd
	Resident float64       // MB of memory
	CPU      float64       // share of a core
	Sent     float64       // bytes a second on links, QUIC without UDP headers
	Packets  float64       // packets sent a second
	Spread   time.Duration // slowest of a few changes until in force everywhere; on entryd rows
}

// Options of a measurement.
type Options struct {
	Bin     string
	Settle  time.Duration // before the measurement
	Window  time.Duration // of the measurement
	Changes int           // of configuration, to measure their spread
}

const (
	folderPrefix  = "verbenahaven-size-"
	accountsChunk = 200
	spreadLimit   = 8 * time.Second
	stopLimit     = 20 * time.Second
	megabyte      = 1 << 20
)

// Measure starts a deployment of a size and measures it at rest.
func Measure(ctx context.Context, o Options, p Point) ([]Sample, error) {
	folder, err := os.MkdirTemp("", folderPrefix)
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, cleanup, err := fleet.Start(ctx, deployment(o, p, folder))
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	defer cleanup()
	if err := accounts(ctx, f, p.Accounts); err != nil {
		return nil, err
	}
	time.Sleep(o.Settle)
	samples, err := rest(ctx, f, o, p)
	if err != nil {
		return nil, err
	}
	spread, err := changes(ctx, f, o.Changes)
	if err != nil {
		return nil, err
	}
	samples[1].Spread = spread
	if err := f.Stop(stopLimit); err != nil {
		return nil, fmt.Errorf("stop fleet: %w", err)
	}
	return samples, nil
}

func deployment(o Options, p Point, folder string) fleet.Options {
	centres := []string{"north", "middle", "south"}
	d := fleet.Options{
		Bin: o.Bin, Folder: folder, Keepers: p.Keepers, Entries: p.Entries, Centres: centres,
		Declare: "declare service counter kind model model spec revision 1 class first deadline 10s first 2s\n",
		Keep:    map[string]any{"plan": map[string]any{"policy": "fixed"}},
		Entry:   map[string]any{"address": map[string]any{"life": "500ms"}},
	}
	for i := range p.Engines {
		role := state.RolePrefill
		if i%2 == 1 {
			role = state.RoleDecode
		}
		d.Engines = append(d.Engines, fleet.Engine{
			Name: fmt.Sprintf("engine%d", i+1), Centre: centres[i%len(centres)], Model: "spec", Role: role, Fenced: true,
		})
	}
	return d
}

func accounts(ctx context.Context, f *fleet.Fleet, n int) error {
	for from := 0; from < n; from += accountsChunk {
		var text strings.Builder
		for i := from; i < min(from+accountsChunk, n); i++ {
			fmt.Fprintf(&text, "declare account client%d digest %q tokens 1000 requests 10\n", i, fleet.Digest("client"))
		}
		if _, err := f.Run(ctx, text.String()); err != nil {
			return fmt.Errorf("declare accounts: %w", err)
		}
	}
	return nil
}

// rest measures both roles over the window.
func rest(ctx context.Context, f *fleet.Fleet, o Options, p Point) ([]Sample, error) {
	roles := map[string][]*fleet.Process{"keepd": f.Keepers(), "entryd": f.Entries()}
	before := make(map[string]usage)
	for role, processes := range roles {
		u, err := total(ctx, processes)
		if err != nil {
			return nil, err
		}
		before[role] = u
	}
	time.Sleep(o.Window)
	samples := make([]Sample, 0, len(roles))
	for _, role := range []string{"keepd", "entryd"} {
		after, err := total(ctx, roles[role])
		if err != nil {
			return nil, err
		}
		n := float64(len(roles[role]))
		seconds := o.Window.Seconds()
		samples = append(samples, Sample{
			Point: p, Role: role,
			Resident: after.resident / n / megabyte,
			CPU:      (after.cpu - before[role].cpu).Seconds() / seconds / n,
			Sent:     (after.sent - before[role].sent) / seconds / n,
			Packets:  (after.packets - before[role].packets) / seconds / n,
		})
	}
	return samples, nil
}

// changes makes changes of configuration and returns the longest time until
// one was in force on all entry instances.
func changes(ctx context.Context, f *fleet.Fleet, n int) (time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for i := range n {
		reply, err := f.Run(ctx, fmt.Sprintf("declare account spread digest %q tokens %d", fleet.Digest("spread"), i+1))
		if err != nil {
			return 0, fmt.Errorf("change configuration: %w", err)
		}
		accepted := time.Now()
		for _, p := range f.Entries() {
			if err := fleet.Wait(ctx, spreadLimit, func() error { return f.InForce(ctx, p, reply.Version) }); err != nil {
				return 0, fmt.Errorf("wait for version %d: %w", reply.Version, err)
			}
		}
		times = append(times, time.Since(accepted))
	}
	if n == 0 {
		return 0, nil
	}
	sort.Slice(times, func(i, k int) bool { return times[i] < times[k] })
	return times[n-1], nil
}

// Slope is a straight line through measured points, by least squares.
type Slope struct {
	Base  float64 // at size 0
	Each  float64 // for one more
	Error float64 // largest distance of a point from the line
}

// Fit fits a line.
func Fit(x, y []float64) Slope {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var s Slope
	if d := n*sxx - sx*sx; d != 0 {
		s.Each = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		s.Base = (sy - s.Each*sx) / n
	}
	for i := range x {
		s.Error = max(s.Error, y[i]-s.Base-s.Each*x[i], s.Base+s.Each*x[i]-y[i])
	}
	return s
}
