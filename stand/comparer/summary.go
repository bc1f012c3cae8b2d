package comparer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cowslipbend.dev"
)

// Pair is a day played by both builds with the same seed.
type Pair struct{ Old, New Result }

// Difference is a mean difference between the builds.
type Difference struct {
	Pairs int
	// Old and New are the means, and Error is the standard error of their difference.
	Old, New, Error float64
}

// Mean returns the mean difference.
func (d Difference) Mean() float64 { return d.New - d.Old }

// confidence is the level of the interval that must leave out zero.
const confidence = 0.95

// Shown reports whether the confidence interval of the mean leaves out zero.
func (d Difference) Shown() bool {
	if d.Pairs < 2 {
		return false
	}
	t := distuv.StudentsT{Sigma: 1, Nu: float64(d.Pairs - 1)}
	return math.Abs(d.Mean()) > t.Quantile((1+confidence)/2)*d.Error
}

// String formats the difference with the verdict.
func (d Difference) String() string {
	verdict := "not shown"
	if d.Shown() {
		verdict = "shown"
	}
	return fmt.Sprintf("%.3f to %.3f, %+.3f +/- %.3f in %d pairs, %s", d.Old, d.New, d.Mean(), d.Error, d.Pairs, verdict)
}

// difference returns the difference of a value of the results.
func difference(pairs []Pair, value func(*Result) float64) Difference {
	d := Difference{Pairs: len(pairs)}
	for i := range pairs {
		d.Old += value(&pairs[i].Old) / float64(len(pairs))
		d.New += value(&pairs[i].New) / float64(len(pairs))
	}
	sum := 0.0
	for i := range pairs {
		deviation := value(&pairs[i].New) - value(&pairs[i].Old) - d.Mean()
		sum += deviation * deviation
	}
	d.Error = math.Sqrt(sum / float64(max(len(pairs)-1, 1)) / float64(max(len(pairs), 1)))
	return d
}

func worth(r *Result) float64 { return r.Worth }

// maxDeciding is the number of pairs that are listed as deciding.
const maxDeciding = 5

// WriteSummary writes the differences by site and queue, the pairs that decide, and
// the plays with broken rules.
func WriteSummary(w io.Writer, pairs []Pair) {
	bySite := map[string][]Pair{}
	for _, p := range pairs {
		bySite[p.Old.Site] = append(bySite[p.Old.Site], p)
	}
	for _, site := range slices.Sorted(maps.Keys(bySite)) {
		_, _ = fmt.Fprintf(w, "%s: %v\n", strings.TrimSuffix(filepath.Base(site), filepath.Ext(site)), difference(bySite[site], worth))
		for _, queue := range slices.Sorted(maps.Keys(bySite[site][0].Old.Queues)) {
			_, _ = fmt.Fprintf(w, "  %s: %v\n", queue, difference(bySite[site], func(r *Result) float64 { return r.Queues[queue] }))
		}
	}
	if len(bySite) > 1 {
		_, _ = fmt.Fprintf(w, "all: %v\n", difference(pairs, worth))
	}
	deciding := slices.Clone(pairs)
	slices.SortStableFunc(deciding, func(a, b Pair) int {
		return cmp.Compare(math.Abs(b.New.Worth-b.Old.Worth), math.Abs(a.New.Worth-a.Old.Worth))
	})
	for _, p := range deciding[:min(len(deciding), maxDeciding)] {
		_, _ = fmt.Fprintf(w, "decides: %s seed %d, %.3f to %.3f\n", p.Old.Day, p.Old.Seed, p.Old.Worth, p.New.Worth)
	}
	for _, p := range pairs {
		for _, r := range []Result{p.Old, p.New} {
			if len(r.Broken) > 0 {
				_, _ = fmt.Fprintf(w, "broken: %s %v\n", r.Play, r.Broken)
			}
		}
	}
}

// Sizes of the plot.
const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// WritePlot writes a plot of the worth of each pair, old against new.
func WritePlot(path string, pairs []Pair) error {
	p := plot.New()
	p.Title.Text = "worth of each day and seed"
	p.X.Label.Text, p.Y.Label.Text = "old", "new"
	points := make(plotter.XYs, len(pairs))
	for i := range pairs {
		points[i] = plotter.XY{X: pairs[i].Old.Worth, Y: pairs[i].New.Worth}
	}
	dots, err := plotter.NewScatter(points)
	if err == nil {
		p.Add(dots, plotter.NewFunction(func(x float64) float64 { return x }))
		err = p.Save(plotWidth, plotHeight, path)
	}
	if err != nil {
		return cowslipbend.Failf(cowslipbend.KindInvalid, err, "give a file name that ends in .svg or .png", "plot cannot be written")
	}
	return nil
}
