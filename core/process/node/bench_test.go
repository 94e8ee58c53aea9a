package node_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
)

// commandBytes is the size of a benchmark's commands.
const commandBytes = 256

func command() []byte {
	return append(binary.BigEndian.AppendUint64(nil, 1), make([]byte, commandBytes-8)...)
}

func median(all []time.Duration) time.Duration { return share(all, 0.5) }

func share(all []time.Duration, q float64) time.Duration {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// baseline syncs a file on the same disk and makes a round trip on the same
// kind of link.
type baseline struct {
	file   *os.File
	client *link.Client
}

func newBaseline(b *testing.B, g *group) *baseline {
	f, err := os.Create(filepath.Join(g.base, "baseline"))
	check(b, err)
	server := link.NewServer(meter.New())
	link.Handle(server, "echo", func(_ context.Context, _ string, q []byte) ([]byte, error) { return q, nil })
	address, stop, err := server.Listen("127.0.0.1:0", g.keys(g.names[0]))
	check(b, err)
	c, closeClient := link.NewClient(address.String(), g.keys(g.names[0]))
	b.Cleanup(func() {
		closeClient()
		stop()
		f.Close()
	})
	return &baseline{file: f, client: c}
}

func (l *baseline) sync(b *testing.B) time.Duration {
	start := time.Now()
	_, err := l.file.Write(command())
	check(b, err)
	check(b, unix.Fdatasync(int(l.file.Fd())))
	return time.Since(start)
}

func (l *baseline) trip(b *testing.B) time.Duration {
	start := time.Now()
	_, err := link.Call[[]byte, []byte](context.Background(), l.client, "echo", command())
	check(b, err)
	return time.Since(start)
}

// BenchmarkCommit compares a commit with one sync plus one round trip, taken
// in turns.
func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newGroup(b, members, 0, calm)
			g.start(g.names...)
			g.add(1)
			leader := g.members[g.leader()].node
			base := newBaseline(b, g)
			var commits, syncs, trips []time.Duration
			for b.Loop() {
				start := time.Now()
				_, err := leader.Propose(context.Background(), command())
				check(b, err)
				commits = append(commits, time.Since(start))
				syncs = append(syncs, base.sync(b))
				trips = append(trips, base.trip(b))
			}
			least := median(syncs) + median(trips)
			b.ReportMetric(micros(median(commits)), "commit-µs")
			b.ReportMetric(micros(share(commits, 0.95)), "commit-p95-µs")
			b.ReportMetric(micros(median(syncs)), "sync-µs")
			b.ReportMetric(micros(median(trips)), "trip-µs")
			b.ReportMetric(float64(median(commits))/float64(least), "ratio")
		})
	}
}

// calm keeps elections out of benchmarks on a busy machine.
func calm(s *node.Settings) {
	s.Heartbeat, s.Election, s.Replace = 50*time.Millisecond, time.Second, 0
}

// BenchmarkGroupCommit commits from many proposers at once.
func BenchmarkGroupCommit(b *testing.B) {
	for _, proposers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newGroup(b, 3, 0, calm)
			g.start(g.names...)
			g.add(1)
			leader := g.members[g.leader()].node
			var left atomic.Int64
			left.Store(int64(b.N))
			var group sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						if _, err := leader.Propose(context.Background(), command()); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkFailover measures from the kill or the stop of the leader to the
// first command that another accepts. The settings are those of sample.toml.
func BenchmarkFailover(b *testing.B) {
	b.Run("killed", func(b *testing.B) { failover(b, func(m *member) { m.node.Kill() }) })
	b.Run("stopped", func(b *testing.B) { failover(b, func(m *member) { m.stop() }) })
}

func failover(b *testing.B, end func(m *member)) {
	g := newGroup(b, 3, 0, func(s *node.Settings) {
		s.Heartbeat, s.Election, s.Replace = 50*time.Millisecond, 300*time.Millisecond, time.Minute
	})
	g.start(g.names...)
	g.add(1)
	var all []time.Duration
	for b.Loop() {
		old := g.leader()
		// A fresh heartbeat must not always precede the end.
		time.Sleep(rand.N(100 * time.Millisecond))
		dead := g.members[old]
		start := time.Now()
		delete(g.members, old)
		ended := make(chan struct{})
		go func() {
			end(dead)
			close(ended)
		}()
		g.add(1)
		all = append(all, time.Since(start))
		<-ended
		dead.stop()
		g.start(old)
		g.add(1)
		g.wait("return", func() bool {
			s := g.members[old].node.Status()
			return s.Leader != "" && s.Applied == g.members[g.leader()].node.Status().Applied
		})
	}
	b.ReportMetric(float64(median(all))/1e6, "failover-ms")
	b.ReportMetric(float64(slices.Max(all))/1e6, "failover-max-ms")
}

// BenchmarkIdle measures what a group costs that has nothing to do. The
// gauges of the links sum over all members of this process and are renewed
// once a second.
func BenchmarkIdle(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newGroup(b, members, 0, func(s *node.Settings) {
				s.Heartbeat, s.Election = 50*time.Millisecond, 300*time.Millisecond
			})
			g.start(g.names...)
			g.add(1)
			m := g.members[g.names[0]].meter
			for b.Loop() {
				const seconds = 4
				old := m.Value("link", "sent", "bytes")
				g.wait("gauges to be renewed", func() bool { return m.Value("link", "sent", "bytes") != old })
				bytes, packets, used := m.Value("link", "sent", "bytes"), m.Value("link", "sent", "packets"), processorTime()
				time.Sleep(seconds*time.Second + 50*time.Millisecond)
				b.ReportMetric(float64(m.Value("link", "sent", "bytes")-bytes)/seconds, "bytes/s")
				b.ReportMetric(float64(m.Value("link", "sent", "packets")-packets)/seconds, "packets/s")
				b.ReportMetric(float64(processorTime()-used)/float64(seconds*time.Second)*100, "core-%")
			}
		})
	}
}

func processorTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSnapshot measures how long a new member needs to take over a state
// of some size.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{1 << 20, 16 << 20, 64 << 20} {
		b.Run(fmt.Sprintf("MiB=%d", size>>20), func(b *testing.B) {
			g := newGroup(b, 3, 0, func(s *node.Settings) {
				calm(s)
				s.Snapshot, s.Replace = 200, 30*time.Second
			})
			g.start(g.names...)
			for _, m := range g.members {
				m.machine.pad = size
			}
			for range 450 {
				g.add(1)
			}
			var all []time.Duration
			victim := g.names[2]
			for b.Loop() {
				g.halt(victim)
				check(b, os.RemoveAll(g.settings[victim].Folder))
				g.start(victim)
				g.wait("learner", func() bool { return g.members[victim].node.Status().Term > 0 })
				start := time.Now()
				g.wait("catch-up", func() bool {
					count, _ := g.members[victim].machine.read()
					return count >= 450
				})
				all = append(all, time.Since(start))
			}
			b.ReportMetric(float64(median(all))/1e6, "catch-up-ms")
		})
	}
}
