package node_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// Limits of a member in BenchmarkConfigurations.
const (
	benchDiskBytes   = 64_000_000
	benchMemoryBytes = 284_000_000
)

// routingCommand returns a command that publishes a routing table.
func routingCommand(b *testing.B, number, routes int) []byte {
	b.Helper()
	r := state.RoutingTable{Number: uint64(number), Pools: []state.Pool{{Name: "pool-1"}, {Name: "pool-2"}}}
	for i := range routes {
		r.Routes = append(r.Routes, state.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%7), PathPrefix: fmt.Sprintf("/path/%d/%d/", i, number), Kind: state.RouteStream,
			Timeout: time.Minute, LatencyTarget: time.Second, GapTarget: time.Second, MaxAttempts: 2, Weights: []state.PoolWeight{{Pool: "pool-1", Weight: 3}, {Pool: "pool-2", Weight: 1}},
		})
	}
	r.Source = []byte(strings.Repeat(strconv.Itoa(number%10), 150*routes))
	c, err := store.Encode(store.Command{PublishRouting: &r}, time.Unix(int64(number), 0))
	requireNoError(b, err)
	return c
}

// BenchmarkConfigurations measures changes of a configuration, each of which
// replaces the whole of it, on small machines. It then restarts all members, and
// takes the disk of each in turn.
func BenchmarkConfigurations(b *testing.B) {
	for _, size := range []struct{ routes, changes int }{{100, 1000}, {400, 5000}, {1600, 1000}} {
		b.Run(fmt.Sprintf("routes=%d", size.routes), func(b *testing.B) {
			for b.Loop() {
				measureConfigurations(b, size.routes, size.changes)
			}
		})
	}
}

func measureConfigurations(b *testing.B, routes, changes int) {
	b.Helper()
	g := newGroup(b, 3, 0, func(s *node.Settings) {
		disableElections(s)
		s.ReplaceAfter, s.DiskBytes, s.MemoryBytes, s.CommandsPerSnapshot = time.Second, benchDiskBytes, benchMemoryBytes, 2000
	})
	g.newOther = func() node.StateMachine { return store.New() }
	g.start(g.names...)
	var took []time.Duration
	var diskPeak int64
	retries := 0
	for number := 1; number <= changes; number++ {
		c := routingCommand(b, number, routes)
		start := time.Now()
		// A busy machine may cost the leader its majority: the change is sent again.
		_, err := g.members[g.leader()].node.Propose(context.Background(), c)
		for ; err != nil; retries++ {
			_, err = g.members[g.leader()].node.Propose(context.Background(), c)
		}
		took = append(took, time.Since(start))
		if number%10 == 0 {
			for _, name := range g.names {
				diskPeak = max(diskPeak, g.folderBytes(name))
			}
		}
	}
	part := changes / 5
	for name, d := range map[string][]time.Duration{"early": took[:part], "late": took[changes-part:]} {
		b.ReportMetric(micros(quantile(d, 0.5))/1000, name+"-p50-ms")
		b.ReportMetric(micros(quantile(d, 0.99))/1000, name+"-p99-ms")
	}
	b.ReportMetric(float64(len(routingCommand(b, changes, routes))), "command-B")
	b.ReportMetric(float64(retries), "retries")
	b.ReportMetric(float64(diskPeak)/1e6, "disk-MB")
	b.ReportMetric(float64(residentPeak(b))/1e6, "three-members-MB")
	for _, name := range g.names {
		g.stop(name)
	}
	g.start(g.names...)
	g.waitPublished(changes)
	for _, name := range g.names {
		g.stop(name)
		requireNoError(b, os.RemoveAll(g.settings[name].Folder))
		g.start(name)
		g.waitPublished(changes)
		g.wait("vote of the new member", func() bool { return g.members[name].node.Status().Role != node.RoleLearner && len(g.voters()) == 3 })
	}
	for _, name := range g.names {
		g.stop(name)
	}
}

// waitPublished waits until all members have the routing table of the last change.
func (g *group) waitPublished(number int) {
	g.tb.Helper()
	g.wait("last table everywhere", func() bool {
		all := true
		for _, m := range g.members {
			m.other.(*store.Store).Read(func(s *state.State, _ *ledger.Ledger) {
				all = all && s.Routing() != nil && s.Routing().Number == uint64(number)
			})
		}
		return all
	})
}

func (g *group) folderBytes(name string) int64 {
	var total int64
	files, _ := os.ReadDir(g.settings[name].Folder)
	for _, f := range files {
		if i, err := f.Info(); err == nil { // a segment may just have been dropped
			total += i.Size()
		}
	}
	return total
}

// residentPeak returns the largest resident memory of this process so far.
func residentPeak(b *testing.B) int64 {
	b.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(os.Getpid()), "status"))
	requireNoError(b, err)
	fields := strings.Fields(string(status))
	at := slices.Index(fields, "VmHWM:")
	kilobytes, err := strconv.ParseInt(fields[at+1], 10, 64)
	requireNoError(b, err)
	return kilobytes << 10
}
