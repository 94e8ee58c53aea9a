package report

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 12 // points
)

// Plot draws the goodput of one deployment by segment and policy, with the
// hindsight bound beside it, into NAME.svg in folder.
func Plot(folder, name string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Goodput of " + name
	p.Y.Label.Text = "share answered whole in time"
	p.Y.Min, p.Y.Max = 0, 1.25
	p.Legend.Top = true
	var policies, segments []string
	values := make(map[string]plotter.Values)
	for _, r := range rows {
		if _, ok := values[r.Policy]; !ok {
			policies = append(policies, r.Policy)
		}
		values[r.Policy] = append(values[r.Policy], r.Goodput)
		if r.Policy == rows[0].Policy {
			segments = append(segments, r.Segment)
			values["hindsight"] = append(values["hindsight"], r.Hindsight)
		}
	}
	policies = append(policies, "hindsight")
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(values[policy], vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth) * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(segments...)
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name+".svg")); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
