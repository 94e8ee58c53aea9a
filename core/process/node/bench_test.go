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

// commandBytes is the size of a command in the benchmarks.
const commandBytes = 256

func command() []byte {
	return append(binary.BigEndian.AppendUint64(nil, 1), make([]byte, commandBytes-8)...)
}

func median(all []time.Duration) time.Duration { return quantile(all, 0.5) }

func quantile(all []time.Duration, q float64) time.Duration {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// hardwareBaseline measures the cost of a commit's parts without consensus: an
// fsync on the same disk and a round trip on the same kind of link.
type hardwareBaseline struct {
	file   *os.File
	client *link.Client
}

func newHardwareBaseline(b *testing.B, g *group) *hardwareBaseline {
	f, err := os.Create(filepath.Join(g.baseFolder, "baseline"))
	requireNoError(b, err)
	server := link.NewServer(meter.New())
	link.Handle(server, "echo", func(_ context.Context, _ string, q []byte) ([]byte, error) { return q, nil })
	address, stop, err := server.Listen("127.0.0.1:0", g.keys(g.names[0]))
	requireNoError(b, err)
	c, closeClient := link.NewClient(address.String(), g.keys(g.names[0]))
	b.Cleanup(func() {
		closeClient()
		stop()
		f.Close()
	})
	return &hardwareBaseline{file: f, client: c}
}

func (l *hardwareBaseline) sync(b *testing.B) time.Duration {
	start := time.Now()
	_, err := l.file.Write(command())
	requireNoError(b, err)
	requireNoError(b, unix.Fdatasync(int(l.file.Fd())))
	return time.Since(start)
}

func (l *hardwareBaseline) roundTrip(b *testing.B) time.Duration {
	start := time.Now()
	_, err := link.Call[[]byte, []byte](context.Background(), l.client, "echo", command())
	requireNoError(b, err)
	return time.Since(start)
}

// BenchmarkCommit compares the latency of a commit with that of one fsync plus
// one round trip. Commits, fsyncs and round trips alternate, so that all see the
// same load.
func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newGroup(b, members, 0, disableElections)
			g.start(g.names...)
			g.propose(1)
			leader := g.members[g.leader()].node
			base := newHardwareBaseline(b, g)
			var commits, syncs, trips []time.Duration
			for b.Loop() {
				start := time.Now()
				_, err := leader.Propose(context.Background(), command())
				requireNoError(b, err)
				commits = append(commits, time.Since(start))
				syncs = append(syncs, base.sync(b))
				trips = append(trips, base.roundTrip(b))
			}
			least := median(syncs) + median(trips)
			b.ReportMetric(micros(median(commits)), "commit-µs")
			b.ReportMetric(micros(quantile(commits, 0.95)), "commit-p95-µs")
			b.ReportMetric(micros(median(syncs)), "sync-µs")
			b.ReportMetric(micros(median(trips)), "trip-µs")
			b.ReportMetric(float64(median(commits))/float64(least), "ratio")
		})
	}
}

// disableElections sets timeouts that a busy machine doesn't exceed, so that no
// election disturbs a benchmark.
func disableElections(s *node.Settings) {
	s.HeartbeatInterval, s.ElectionTimeout, s.ReplaceAfter = 50*time.Millisecond, time.Second, 0
}

// BenchmarkGroupCommit measures the throughput of concurrent proposers.
func BenchmarkGroupCommit(b *testing.B) {
	for _, proposers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newGroup(b, 3, 0, disableElections)
			g.start(g.names...)
			g.propose(1)
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

// BenchmarkFailover measures the time from the kill or the graceful stop of the
// leader to the first command that another member commits. The timeouts are
// those of sample.toml.
func BenchmarkFailover(b *testing.B) {
	b.Run("killed", func(b *testing.B) { measureFailover(b, func(m *member) { m.node.Kill() }) })
	b.Run("stopped", func(b *testing.B) { measureFailover(b, func(m *member) { m.stop() }) })
}

func measureFailover(b *testing.B, end func(m *member)) {
	g := newGroup(b, 3, 0, func(s *node.Settings) {
		s.HeartbeatInterval, s.ElectionTimeout, s.ReplaceAfter = 50*time.Millisecond, 300*time.Millisecond, time.Minute
	})
	g.start(g.names...)
	g.propose(1)
	var all []time.Duration
	for b.Loop() {
		old := g.leader()
		// A random phase: the leader must not always stop right after a
		// heartbeat.
		time.Sleep(rand.N(100 * time.Millisecond))
		dead := g.members[old]
		start := time.Now()
		delete(g.members, old)
		ended := make(chan struct{})
		go func() {
			end(dead)
			close(ended)
		}()
		g.propose(1)
		all = append(all, time.Since(start))
		<-ended
		dead.stop()
		g.start(old)
		g.propose(1)
		g.wait("return of the old leader", func() bool {
			s := g.members[old].node.Status()
			return s.Leader != "" && s.Applied == g.members[g.leader()].node.Status().Applied
		})
	}
	b.ReportMetric(float64(median(all))/1e6, "failover-ms")
	b.ReportMetric(float64(slices.Max(all))/1e6, "failover-max-ms")
}

// BenchmarkIdle measures the traffic and CPU time of an idle group. The gauges
// of the links add up all members in this process and are updated once a
// second.
func BenchmarkIdle(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newGroup(b, members, 0, func(s *node.Settings) {
				s.HeartbeatInterval, s.ElectionTimeout = 50*time.Millisecond, 300*time.Millisecond
			})
			g.start(g.names...)
			g.propose(1)
			m := g.members[g.names[0]].meter
			for b.Loop() {
				const seconds = 4
				old := m.Value("link", "sent", "bytes")
				g.wait("update of the gauges", func() bool { return m.Value("link", "sent", "bytes") != old })
				bytes, packets, used := m.Value("link", "sent", "bytes"), m.Value("link", "sent", "packets"), cpuTime()
				time.Sleep(seconds*time.Second + 50*time.Millisecond)
				b.ReportMetric(float64(m.Value("link", "sent", "bytes")-bytes)/seconds, "bytes/s")
				b.ReportMetric(float64(m.Value("link", "sent", "packets")-packets)/seconds, "packets/s")
				b.ReportMetric(float64(cpuTime()-used)/float64(seconds*time.Second)*100, "core-%")
			}
		})
	}
}

func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSnapshot measures how long a new member needs to catch up by a
// snapshot, by the size of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{1 << 20, 16 << 20, 64 << 20} {
		b.Run(fmt.Sprintf("MiB=%d", size>>20), func(b *testing.B) {
			g := newGroup(b, 3, 0, func(s *node.Settings) {
				disableElections(s)
				s.CommandsPerSnapshot, s.ReplaceAfter = 200, 30*time.Second
			})
			g.start(g.names...)
			for _, m := range g.members {
				m.machine.padBytes = size
			}
			for range 450 {
				g.propose(1)
			}
			var all []time.Duration
			victim := g.names[2]
			for b.Loop() {
				g.stop(victim)
				requireNoError(b, os.RemoveAll(g.settings[victim].Folder))
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
