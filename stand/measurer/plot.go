package measurer

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cowslipbend.dev"
)

// Sizes of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	dotRadius  = 4
)

// writePlots writes one plot per firm. It shows the p99 of calls against the
// batch throughput of the same run, with one dot per case, seed and policy.
func writePlots(dir string, groups []*group) error {
	if err := os.MkdirAll(filepath.Join(dir, "plots"), 0o755); err != nil {
		return writeFailed(err)
	}
	byFirm := map[string]map[string]plotter.XYs{}
	for _, g := range groups {
		for _, l := range g.lines {
			if l.Only != "" || l.P99 <= 0 {
				continue
			}
			if byFirm[g.firm] == nil {
				byFirm[g.firm] = map[string]plotter.XYs{}
			}
			byFirm[g.firm][g.variant] = append(byFirm[g.firm][g.variant], plotter.XY{X: l.CPUSeconds / l.Seconds, Y: l.P99})
		}
	}
	for firm, series := range byFirm {
		if err := writePlot(filepath.Join(dir, "plots", firm+".svg"), firm, series); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(file, firm string, series map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = firm + ": service latency against batch throughput, one dot per run"
	p.X.Label.Text = "batch, core-seconds a second"
	p.Y.Label.Text = "p99 of calls, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	for i, name := range sortedKeys(series) {
		dots, err := plotter.NewScatter(series[name])
		if err != nil {
			return cowslipbend.Failf(cowslipbend.KindBroken, err, "check the lines in results.jsonl", "results of %s cannot be plotted", firm)
		}
		dots.Color, dots.Shape, dots.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(dotRadius)
		p.Add(dots)
		p.Legend.Add(name, dots)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return writeFailed(err)
	}
	return nil
}

func sortedKeys(series map[string]plotter.XYs) []string { return slices.Sorted(maps.Keys(series)) }
