// Package size measures the resource usage of idle instances and the
// propagation time of configuration changes by deployment size, and fits lines
// to the results.
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

// Point is a deployment size.
type Point struct {
	Keepers  int
	Entries  int
	Engines  int
	Accounts int
}

// Sample is the usage measured at one point. Figures are means over the
// instances of a role.
type Sample struct {
	Point
	Role        string        // keepd or entryd
	Resident    float64       // resident memory in MB
	CPU         float64       // cores
	Sent        float64       // bytes per second on links: QUIC packets without UDP headers
	Packets     float64       // packets sent per second
	Propagation time.Duration // longest time until a change reached all entry instances; only in entryd samples
}

// Options are the parameters of a measurement.
type Options struct {
	Bin        string
	SettleTime time.Duration // wait before the measurement
	Window     time.Duration // length of the measurement
	Changes    int           // number of configuration changes whose propagation is measured
}

const (
	folderPrefix       = "verbenahaven-size-"
	accountsPerCommand = 200
	propagationTimeout = 8 * time.Second
	stopTimeout        = 20 * time.Second
	megabyte           = 1 << 20
)

// Measure starts a deployment of a size and measures it while idle.
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
	if err := declareAccounts(ctx, f, p.Accounts); err != nil {
		return nil, err
	}
	time.Sleep(o.SettleTime)
	samples, err := measureIdle(ctx, f, o, p)
	if err != nil {
		return nil, err
	}
	propagation, err := measurePropagation(ctx, f, o.Changes)
	if err != nil {
		return nil, err
	}
	samples[1].Propagation = propagation
	if err := f.Stop(stopTimeout); err != nil {
		return nil, fmt.Errorf("stop fleet: %w", err)
	}
	return samples, nil
}

func deployment(o Options, p Point, folder string) fleet.Options {
	centres := []string{"north", "middle", "south"}
	d := fleet.Options{
		Bin: o.Bin, Folder: folder, Keepers: p.Keepers, Entries: p.Entries, Centres: centres,
		Commands:       "declare service counter kind model model spec revision 1 class first deadline 10s first 2s\n",
		KeeperSettings: map[string]any{"plan": map[string]any{"policy": "fixed"}},
		EntrySettings:  map[string]any{"address": map[string]any{"life": "500ms"}},
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

func declareAccounts(ctx context.Context, f *fleet.Fleet, n int) error {
	for from := 0; from < n; from += accountsPerCommand {
		var text strings.Builder
		for i := from; i < min(from+accountsPerCommand, n); i++ {
			fmt.Fprintf(&text, "declare account client%d digest %q tokens 1000 requests 10\n", i, fleet.Digest("client"))
		}
		if _, err := f.Run(ctx, text.String()); err != nil {
			return fmt.Errorf("declare accounts: %w", err)
		}
	}
	return nil
}

// measureIdle returns the usage of keepers and entry instances over the window,
// in this order.
func measureIdle(ctx context.Context, f *fleet.Fleet, o Options, p Point) ([]Sample, error) {
	roles := map[string][]*fleet.Process{"keepd": f.Keepers(), "entryd": f.Entries()}
	before := make(map[string]usage)
	for role, processes := range roles {
		u, err := totalUsage(ctx, processes)
		if err != nil {
			return nil, err
		}
		before[role] = u
	}
	time.Sleep(o.Window)
	samples := make([]Sample, 0, len(roles))
	for _, role := range []string{"keepd", "entryd"} {
		after, err := totalUsage(ctx, roles[role])
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

// measurePropagation makes n configuration changes and returns the longest time
// until one reached all entry instances.
func measurePropagation(ctx context.Context, f *fleet.Fleet, n int) (time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for i := range n {
		reply, err := f.Run(ctx, fmt.Sprintf("declare account spread digest %q tokens %d", fleet.Digest("spread"), i+1))
		if err != nil {
			return 0, fmt.Errorf("change configuration: %w", err)
		}
		accepted := time.Now()
		for _, p := range f.Entries() {
			if err := fleet.Wait(ctx, propagationTimeout, func() error { return f.CheckVersion(ctx, p, reply.Version) }); err != nil {
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

// Line is a line fitted to measured points by least squares.
type Line struct {
	Intercept float64 // value at size 0
	Slope     float64 // increase per unit of size
	MaxError  float64 // largest distance of a point from the line
}

// Fit fits a line to the points (x[i], y[i]).
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var s Line
	if d := n*sxx - sx*sx; d != 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		s.Intercept = (sy - s.Slope*sx) / n
	}
	for i := range x {
		s.MaxError = max(s.MaxError, y[i]-s.Intercept-s.Slope*x[i], s.Intercept+s.Slope*x[i]-y[i])
	}
	return s
}
