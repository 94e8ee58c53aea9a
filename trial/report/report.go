// Package report writes benchmark results as a table, as CSV and as plots.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenahaven.example/trial/bench"
	"verbenahaven.example/trial/bound"
	"verbenahaven.example/trial/demand"
)

// Row is the median over seeds of one segment under one policy.
type Row struct {
	Deployment string
	Policy     string
	Segment    string
	Goodput    float64
	Low, High  float64 // lowest and highest goodput over seeds
	Tokens     float64 // output tokens per second of requests that count as goodput
	Changes    float64
	Hindsight  float64
	BestFixed  float64 // hindsight bound of the best fixed split, over all segments
}

// All is the name of the row over all reported segments.
const All = "all"

// Rows returns a row for each reported segment, and one over all of them, from
// the results of one deployment and policy.
func Rows(results []*bench.Result) []Row {
	d := results[0].Deployment
	var rows []Row
	for i, s := range d.Segments {
		if s.Reported {
			rows = append(rows, medianRow(results, s.Name, func(k int) bool { return k == i }))
		}
	}
	return append(rows, medianRow(results, All, func(k int) bool { return d.Segments[k].Reported }))
}

func medianRow(results []*bench.Result, name string, in func(int) bool) Row {
	n := len(results)
	goodput, tokens := make([]float64, 0, n), make([]float64, 0, n)
	changes, hindsight, fixed := make([]float64, 0, n), make([]float64, 0, n), make([]float64, 0, n)
	d := results[0].Deployment
	length := time.Duration(0)
	for i, s := range d.Segments {
		if in(i) {
			length += s.Length
		}
	}
	for _, r := range results {
		g, t, _, _ := r.Outcomes.Total(in)
		goodput = append(goodput, g)
		tokens = append(tokens, float64(t)/length.Seconds())
		n := len(r.Changes)
		if name != All {
			n = 0
			for i := range d.Segments {
				if in(i) {
					n += r.ChangesIn(i)
				}
			}
		}
		changes = append(changes, float64(n))
		h, f := hindsightBounds(r, in)
		hindsight, fixed = append(hindsight, h), append(fixed, f)
	}
	sort.Float64s(goodput)
	return Row{
		Deployment: d.Name, Policy: results[0].Policy.Name, Segment: name,
		Goodput: Median(goodput), Low: goodput[0], High: goodput[len(goodput)-1],
		Tokens: Median(tokens), Changes: Median(changes), Hindsight: Median(hindsight), BestFixed: Median(fixed),
	}
}

func hindsightBounds(r *bench.Result, in func(int) bool) (changing, fixed float64) {
	d := r.Deployment
	b := bound.Compute(d.Services, d.Segments, demand.Generate(d.Services, d.Segments, r.Seed), bench.EngineCapacity(), bench.EngineCounts(d))
	weight, sum := 0.0, 0.0
	for i := range d.Segments {
		if in(i) {
			n := 0.0
			for k, v := range d.Services {
				if !v.Plain {
					n += float64(r.Outcomes.Cell(i, k).Offered)
				}
			}
			weight += n
			sum += n * b.Changing[i]
		}
	}
	if weight == 0 {
		return 1, b.Fixed
	}
	return sum / weight, b.Fixed
}

// Median returns the median of values, 0 if there are none.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := append([]float64{}, values...)
	sort.Float64s(v)
	m := len(v) / 2
	if len(v)%2 == 1 {
		return v[m]
	}
	return (v[m-1] + v[m]) / 2
}

// Table writes rows as an aligned text table.
func Table(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "deployment\tpolicy\tshift\tgoodput\tlow\thigh\ttokens/s\tchanges\thindsight\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t\n",
			r.Deployment, r.Policy, r.Segment, r.Goodput, r.Low, r.High, r.Tokens, r.Changes, r.Hindsight)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// CSV writes rows as CSV with a header line.
func CSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	f := func(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
	_ = c.Write([]string{"deployment", "policy", "shift", "goodput", "low", "high", "tokens", "changes", "hindsight", "fixed"})
	for _, r := range rows {
		_ = c.Write([]string{
			r.Deployment, r.Policy, r.Segment, f(r.Goodput), f(r.Low), f(r.High), f(r.Tokens), f(r.Changes), f(r.Hindsight), f(r.BestFixed),
		})
	}
	c.Flush()
	if err := c.Error(); err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	return nil
}

// Details writes the counts and latencies of one run by segment and service, the
// planner's decisions, the role changes, and the reasons of refusals and
// retries.
func Details(w io.Writer, r *bench.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s under %s, seed %d\n", r.Deployment.Name, r.Policy.Name, r.Seed)
	_, _ = fmt.Fprintln(t, "shift\tservice\toffered\tgood\trefused\ttold\tfailed\tcut\twrong\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\trefusal p99\t")
	for i, s := range r.Deployment.Segments {
		for k, v := range r.Deployment.Services {
			c := r.Outcomes.Cell(i, k)
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", s.Name, v.Name, c.Offered, c.Good, c.Refused, c.RefusedWithRetry,
				c.Failed, c.Truncated, c.ForeignTokens, quantiles(c.TTFT), quantiles(c.TokenGaps), millis(c.RefusalLatency, 99))
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write details: %w", err)
	}
	for _, row := range r.Decisions {
		_, _ = fmt.Fprintln(w, "  decision", strings.Join(row, " | "))
	}
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(w, "  change at %.1f s: %s %s\n", c.At.Seconds(), c.Engine, c.Role)
	}
	_, err := fmt.Fprintf(w, "changes %d, conflicts %d, cut by orders %d, sent late p99 %s ms\n%s", len(r.Changes), r.OrderConflicts, r.CutByOrder,
		millis(r.Outcomes.SendDelays(), 99), counterLines(r))
	if err != nil {
		return fmt.Errorf("write details: %w", err)
	}
	return nil
}

func quantiles(h *hdrhistogram.Histogram) string {
	return millis(h, 50) + "\t" + millis(h, 95) + "\t" + millis(h, 99)
}

func millis(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return strconv.FormatFloat(float64(h.ValueAtQuantile(q))/1000, 'f', 1, 64)
}

// counterLines returns the nonzero counters of refusals, retries, streams,
// planning and consensus, and the error codes that callers got.
func counterLines(r *bench.Result) string {
	var lines []string
	for name, v := range r.Counters {
		for _, prefix := range []string{"refused", "retry", "attempt", "stream", "event", "plan", "order", "quorum", "node", "beat"} {
			if strings.HasPrefix(name, prefix) && v > 0 {
				lines = append(lines, fmt.Sprintf("  %s %d\n", name, v))
			}
		}
	}
	for code, n := range r.Outcomes.Codes() {
		lines = append(lines, fmt.Sprintf("  caller saw %s %d\n", code, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}
