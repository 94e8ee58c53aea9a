package report

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// FlowRow is the result of one simulated load.
type FlowRow struct {
	Instances int
	Brokers   bool
	Load      float64 // relative to what the engines can serve
	OnTime    float64 // share of the requests
}

// PlotFlow draws the share of requests on time by load, a line for each size
// with and without brokers, into an SVG file.
func PlotFlow(path string, rows []FlowRow) error {
	p := plot.New()
	p.Title.Text = "Requests on time by load"
	p.X.Label.Text = "load relative to what the engines can serve"
	p.Y.Label.Text = "share on time"
	p.Y.Min, p.Y.Max = 0, 1
	type key struct {
		instances int
		brokers   bool
	}
	var order []key
	lines := make(map[key]plotter.XYs)
	for _, r := range rows {
		k := key{r.Instances, r.Brokers}
		if lines[k] == nil {
			order = append(order, k)
		}
		lines[k] = append(lines[k], plotter.XY{X: r.Load, Y: r.OnTime})
	}
	for i, k := range order {
		line, err := plotter.NewLine(lines[k])
		if err != nil {
			return fmt.Errorf("plot %d instances: %w", k.instances, err)
		}
		line.Color = plotutil.Color(i / 2)
		name := fmt.Sprintf("%d instances, brokers", k.instances)
		if !k.brokers {
			line.Dashes = plotutil.Dashes(1)
			name = fmt.Sprintf("%d instances alone", k.instances)
		}
		p.Add(line)
		p.Legend.Add(name, line)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return fmt.Errorf("make folder of the plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
