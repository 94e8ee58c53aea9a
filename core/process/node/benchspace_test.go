package node_test

import (
	"context"
	"fmt"
	"maps"
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
	memoryPeak := residentPeak(b)
	b.ReportMetric(float64(memoryPeak)/1e6, "three-members-MB")
	if early, late := quantile(took[:part], 0.5), quantile(took[changes-part:], 0.5); late > early*3/2 {
		b.Errorf("half of the last changes took more than %s, of the first %s", late, early)
	}
	if diskPeak > benchDiskBytes || memoryPeak > 3*benchMemoryBytes {
		b.Errorf("%d bytes of disk, %d of memory for three members", diskPeak, memoryPeak)
	}
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

// BenchmarkLostPowerAndDisks has as many changes of a configuration on such disks, and
// reads the newest acknowledged one back after each fault.
func BenchmarkLostPowerAndDisks(b *testing.B) {
	const routes, changes = 400, 5000
	for b.Loop() {
		g := newLimitedGroup(b, 3, 1, benchDiskBytes, benchMemoryBytes)
		g.newOther = func() node.StateMachine { return store.New() }
		g.encode = func(number uint64, _ int) []byte { return routingCommand(b, int(number), routes) }
		g.start(g.names...)
		g.proposeLarge(changes)
		peak := 0
		for _, d := range g.disks {
			v, _ := d.usage()
			peak = max(peak, v)
		}
		b.ReportMetric(float64(peak)/1e6, "disk-MB")
		b.ReportMetric(float64(len(g.unknown)), "unknown")
		g.restartAll()
		g.waitNewest()
		for _, name := range g.names {
			g.lose(name)
			g.setDisk(name, newSmallDisk(benchDiskBytes))
			g.start(name)
			g.waitNewest()
			g.wait("three voters that run", func() bool { return len(g.runningVoters()) == 3 })
		}
		for range 3 {
			g.proposeLarge(10)
			g.losePower()
			g.waitNewest()
		}
		for at := range 3 {
			g.powerLossAtWrite("snap-", at)
			g.waitNewest()
		}
		leader := g.leader()
		voters := g.runningVoters()
		g.lose(voters[(slices.Index(voters, leader)+1)%len(voters)])
		g.powerLossAtChange(leader, 0)
		g.waitNewest()
		g.checkUnknown()
		for _, name := range g.names {
			g.stop(name)
		}
	}
}

// runningVoters returns the members that run as voters.
func (g *smallGroup) runningVoters() []string {
	return slices.DeleteFunc(slices.Clone(g.names), func(name string) bool {
		m := g.members[name]
		return m == nil || m.node.Status().Role == node.RoleLearner
	})
}

// waitNewest waits until all members have the newest routing table that was
// acknowledged, or one after it whose outcome was unknown.
func (g *smallGroup) waitNewest() {
	g.tb.Helper()
	newest := slices.Max(slices.Collect(maps.Keys(g.acknowledged)))
	g.wait("newest table everywhere", func() bool {
		for _, m := range g.members {
			var number uint64
			m.other.(*store.Store).Read(func(s *state.State, _ *ledger.Ledger) {
				if r := s.Routing(); r != nil {
					number = r.Number
				}
			})
			if number < newest || number > newest && g.unknown[number] == 0 {
				return false
			}
		}
		return true
	})
	g.checkMembers()
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
