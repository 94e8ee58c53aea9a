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
	loadTime    = 10 * time.Second
	loadTokens  = 275 // an answer: 44,000 tokens a second at 160 requests
	loadEngines = 8
	clockTicks  = 100 // a second, in /proc
)

// load is what one run of open-loop requests saw.
type load struct {
	mutex  sync.Mutex
	first  []time.Duration
	whole  []time.Duration
	failed int
	tokens int
}

// BenchmarkLoad sends the same open-loop requests through one entry instance
// and straight to the engines, in turn, and reports the difference and what
// the instance used.
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
	s := startSite(b, fleet.Options{Entries: 1, Engines: wide()})
	pid := s.Entries()[0].PID()
	before := processorTime(b, pid)
	through := s.load(b, rate, func(int) string { return s.Entries()[0].URL() })
	used := processorTime(b, pid) - before
	straight := s.load(b, rate, func(i int) string { return s.URL(fmt.Sprint("engine", i%loadEngines+1)) })
	for name, l := range map[string]*load{"through": through, "straight": straight} {
		if l.failed > 0 {
			b.Errorf("%s: %d failed", name, l.failed)
		}
		b.ReportMetric(ms(l.first, 50), name+"-first-p50-ms")
		b.ReportMetric(ms(l.first, 99), name+"-first-p99-ms")
		b.ReportMetric(ms(l.whole, 50), name+"-whole-p50-ms")
		b.ReportMetric(ms(l.whole, 99), name+"-whole-p99-ms")
	}
	n := float64(len(through.first))
	b.ReportMetric(used.Seconds()/loadTime.Seconds(), "cores")
	b.ReportMetric(float64(used.Microseconds())/n, "cpu-us/request")
	b.ReportMetric(float64(used.Nanoseconds())/float64(through.tokens), "cpu-ns/token")
	b.ReportMetric(float64(through.tokens)/loadTime.Seconds(), "tokens/s")
	b.ReportMetric(float64(memory(b, pid))/(1<<20), "rss-MB")
}

// wide engines decode any number of streams at the same pace.
func wide() []fleet.Engine {
	list := make([]fleet.Engine, loadEngines)
	for i := range list {
		list[i] = fleet.Engine{
			Name: fmt.Sprint("engine", i+1), Centre: "north", Model: "spec", Role: state.RoleMixed, Fenced: true,
			Extra: map[string]any{"step": "5ms", "slope": "1ns", "batch": 512, "memory": 4000000, "prefill": 1e7},
		}
	}
	return list
}

func (s *site) load(b *testing.B, rate int, url func(i int) string) *load {
	l := &load{}
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for i := range rate * int(loadTime.Seconds()) {
		<-t.C
		group.Add(1)
		go func() {
			defer group.Done()
			l.ask(client, s.CallerToken(), url(i), i)
		}()
	}
	group.Wait()
	return l
}

func (l *load) ask(client *http.Client, token, url string, i int) {
	begin := time.Now()
	r := engine.Request{
		Model: "counter", Messages: []engine.Message{{Role: "user", Content: fmt.Sprint("question ", i)}},
		MaxTokens: loadTokens, Stream: true, Attempt: fmt.Sprint("straight", i),
	}
	body, _ := json.Marshal(r)
	q, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url+engine.PathChat, bytes.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+token)
	a, err := client.Do(q)
	if err != nil {
		l.fail()
		return
	}
	defer a.Body.Close()
	events := stream.NewReader(a.Body)
	var first time.Duration
	for n := 0; ; n++ {
		data, err := events.Next()
		if err != nil {
			l.fail()
			return
		}
		if n == 0 {
			first = time.Since(begin)
		}
		if string(data) == engine.Done {
			l.add(first, time.Since(begin), n)
			return
		}
	}
}

func (l *load) fail() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failed++
}

func (l *load) add(first, whole time.Duration, tokens int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.first, l.whole = append(l.first, first), append(l.whole, whole)
	l.tokens += tokens
}

func ms(list []time.Duration, percent int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[min(len(list)*percent/100, len(list)-1)].Microseconds()) / 1000
}

// processorTime reads the processor time that a process has used.
func processorTime(b *testing.B, pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// memory reads the resident memory of a process in bytes.
func memory(b *testing.B, pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
	return pages * os.Getpagesize()
}

// BenchmarkIdle reports what an entry instance uses without requests, by the
// number of engines whose reports it reads.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{1, 24} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				engines := wide()[:1]
				for i := 1; i < n; i++ {
					e := engines[0]
					e.Name = fmt.Sprint("engine", i+1)
					engines = append(engines, e)
				}
				s := startSite(b, fleet.Options{Entries: 1, Engines: engines})
				pid := s.Entries()[0].PID()
				time.Sleep(time.Second)
				before := processorTime(b, pid)
				time.Sleep(loadTime)
				used := processorTime(b, pid) - before
				b.ReportMetric(used.Seconds()/loadTime.Seconds(), "cores")
				b.ReportMetric(float64(memory(b, pid))/(1<<20), "rss-MB")
			}
		})
	}
}
