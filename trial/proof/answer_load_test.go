package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

const (
	loadDuration        = 10 * time.Second
	answerTokens        = 275 // per answer: 44,000 tokens/s at 160 requests/s
	engineCount         = 8
	clockTicksPerSecond = 100 // unit of the CPU times in /proc/PID/stat
)

// loadResult collects the latencies and counts of one run of open-loop requests.
type loadResult struct {
	mutex  sync.Mutex
	ttfts  []time.Duration
	totals []time.Duration
	failed int
	tokens int
}

// BenchmarkLoad sends the same open-loop requests first through one entry
// instance and then directly to the engines. It reports the latencies of both
// and the CPU time and memory that the entry instance used.
func BenchmarkLoad(b *testing.B) {
	for _, rate := range []int{16, 160} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			for b.Loop() {
				benchLoad(b, rate)
			}
		})
	}
}

func benchLoad(b *testing.B, rate int) {
	s := startDeployment(b, fleet.Options{Entries: 1, Engines: constantPaceEngines()})
	pid := s.Entries()[0].PID()
	before := cpuTime(b, pid)
	proxied := s.sendLoad(b, rate, func(int) string { return s.Entries()[0].URL() })
	cpuUsed := cpuTime(b, pid) - before
	direct := s.sendLoad(b, rate, func(i int) string { return s.DirectURL(fmt.Sprint("engine", i%engineCount+1)) })
	for name, l := range map[string]*loadResult{"through": proxied, "straight": direct} {
		if l.failed > 0 {
			b.Errorf("%s: %d requests failed", name, l.failed)
		}
		b.ReportMetric(percentileMillis(l.ttfts, 50), name+"-first-p50-ms")
		b.ReportMetric(percentileMillis(l.ttfts, 99), name+"-first-p99-ms")
		b.ReportMetric(percentileMillis(l.totals, 50), name+"-whole-p50-ms")
		b.ReportMetric(percentileMillis(l.totals, 99), name+"-whole-p99-ms")
	}
	n := float64(len(proxied.ttfts))
	b.ReportMetric(cpuUsed.Seconds()/loadDuration.Seconds(), "cores")
	b.ReportMetric(float64(cpuUsed.Microseconds())/n, "cpu-us/request")
	b.ReportMetric(float64(cpuUsed.Nanoseconds())/float64(proxied.tokens), "cpu-ns/token")
	b.ReportMetric(float64(proxied.tokens)/loadDuration.Seconds(), "tokens/s")
	b.ReportMetric(float64(residentBytes(b, pid))/(1<<20), "rss-MB")
}

// constantPaceEngines returns engines that decode any number of streams at the
// same speed.
func constantPaceEngines() []fleet.Engine {
	list := make([]fleet.Engine, engineCount)
	for i := range list {
		list[i] = fleet.Engine{
			Name: fmt.Sprint("engine", i+1), Centre: "north", Model: "spec", Role: state.RoleMixed, Fenced: true,
			ExtraSettings: map[string]any{"step": "5ms", "slope": "1ns", "batch": 512, "memory": 4000000, "prefill": 1e7},
		}
	}
	return list
}

func (s *deployment) sendLoad(b *testing.B, rate int, url func(i int) string) *loadResult {
	l := &loadResult{}
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range rate * int(loadDuration.Seconds()) {
		<-ticker.C
		group.Add(1)
		go func() {
			defer group.Done()
			l.send(client, s.CallerToken(), url(i), i)
		}()
	}
	group.Wait()
	return l
}

func (l *loadResult) send(client *http.Client, token, url string, i int) {
	start := time.Now()
	chat := engine.Request{
		Model: "counter", Messages: []engine.Message{{Role: "user", Content: fmt.Sprint("question ", i)}},
		MaxTokens: answerTokens, Stream: true, Attempt: fmt.Sprint("straight", i),
	}
	body, _ := json.Marshal(chat)
	req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url+engine.PathChat, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		l.addFailure()
		return
	}
	defer resp.Body.Close()
	events := stream.NewReader(resp.Body)
	var ttft time.Duration
	for n := 0; ; n++ {
		data, err := events.Next()
		if err != nil {
			l.addFailure()
			return
		}
		if n == 0 {
			ttft = time.Since(start)
		}
		if string(data) == engine.EndOfStream {
			l.addAnswer(ttft, time.Since(start), n)
			return
		}
	}
}

func (l *loadResult) addFailure() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failed++
}

func (l *loadResult) addAnswer(ttft, total time.Duration, tokens int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ttfts, l.totals = append(l.ttfts, ttft), append(l.totals, total)
	l.tokens += tokens
}

func percentileMillis(latencies []time.Duration, percent int) float64 {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return float64(latencies[min(len(latencies)*percent/100, len(latencies)-1)].Microseconds()) / 1000
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentBytes returns the resident set size of a process.
func residentBytes(b *testing.B, pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * os.Getpagesize()
}

// BenchmarkIdle reports the CPU time and memory that an entry instance uses
// without requests, by the number of engines whose load reports it reads.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{1, 24} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				engines := constantPaceEngines()[:1]
				for i := 1; i < n; i++ {
					e := engines[0]
					e.Name = fmt.Sprint("engine", i+1)
					engines = append(engines, e)
				}
				s := startDeployment(b, fleet.Options{Entries: 1, Engines: engines})
				pid := s.Entries()[0].PID()
				time.Sleep(time.Second)
				before := cpuTime(b, pid)
				time.Sleep(loadDuration)
				cpuUsed := cpuTime(b, pid) - before
				b.ReportMetric(cpuUsed.Seconds()/loadDuration.Seconds(), "cores")
				b.ReportMetric(float64(residentBytes(b, pid))/(1<<20), "rss-MB")
			}
		})
	}
}
