// Package meter keeps the counters, gauges and latency histograms of a process
// and serves them over HTTP.
package meter

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one process.
type Registry struct {
	registry metrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// Count adds one to a counter, whose name is the parts joined by dots: a
// rejection is counted as Count("refused", reason).
func (r *Registry) Count(parts ...string) {
	r.Add(1, parts...)
}

// Add adds n to a counter.
func (r *Registry) Add(n int64, parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), r.registry).Inc(n)
}

// Set sets a gauge.
func (r *Registry) Set(v int64, parts ...string) {
	metrics.GetOrRegisterGauge(strings.Join(parts, "."), r.registry).Update(v)
}

// histogramSize and histogramAlpha are the parameters of a latency histogram's
// exponentially decaying sample: the library's usual ones, which favour the
// last five minutes.
const (
	histogramSize  = 1028
	histogramAlpha = 0.015
)

// Time adds a duration to a latency histogram, in microseconds.
func (r *Registry) Time(d time.Duration, parts ...string) {
	h, ok := r.registry.GetOrRegister(strings.Join(parts, ".")+"_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSize, histogramAlpha))
	}).(metrics.Histogram)
	if ok {
		h.Update(d.Microseconds())
	}
}

// Value returns the value of a counter or gauge, 0 if it does not exist.
func (r *Registry) Value(parts ...string) int64 {
	switch m := r.registry.Get(strings.Join(parts, ".")).(type) {
	case metrics.Counter:
		return m.Count()
	case metrics.Gauge:
		return m.Value()
	default:
		return 0
	}
}

// WriteTo writes one line for each counter and gauge and five for each
// histogram, sorted by name.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	var lines []string
	r.registry.Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			quantiles := s.Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d\n", name, s.Count()), fmt.Sprintf("%s.p50 %.0f\n", name, quantiles[0]),
				fmt.Sprintf("%s.p95 %.0f\n", name, quantiles[1]), fmt.Sprintf("%s.p99 %.0f\n", name, quantiles[2]), fmt.Sprintf("%s.max %d\n", name, s.Max()))
		}
	})
	sort.Strings(lines)
	n, err := io.WriteString(w, strings.Join(lines, ""))
	if err != nil {
		return int64(n), fmt.Errorf("write metrics: %w", err)
	}
	return int64(n), nil
}

// ServeHTTP serves the metrics as text.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = r.WriteTo(w)
}
