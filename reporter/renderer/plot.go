package renderer

import (
	"bytes"
	"html/template"
	"image/color" //nolint:misspell // The package is named so.
	"math"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cowslipbend.dev"
	"cowslipbend.dev/reporter"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

// The colours of a plot.
//
//nolint:misspell // The package is named so.
var (
	blue            = color.NRGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff}
	translucentBlue = color.NRGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0x30}
	red             = color.NRGBA{R: 0xb3, G: 0x26, B: 0x1e, A: 0xff}
)

// lineStyle returns the style of a line.
//
//nolint:misspell // The library's names.
func lineStyle(width vg.Length, c color.Color) draw.LineStyle {
	return draw.LineStyle{Color: c, Width: width}
}

// renderPlot returns the burn rate of a service over time as an SVG plot.
func renderPlot(s reporter.Service) (template.HTML, error) {
	if n := len(s.Windows); n == 0 || s.Windows[n-1].Total() == 0 {
		return "<p>No requests in three days.</p>", nil
	}
	p := plot.New()
	p.X.Label.Text = "time (UTC)"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Ticker: plot.TickerFunc(timeTicks), Format: tickFormat}
	p.Add(plotter.NewGrid())
	if err := addBurn(p, s.Points); err != nil {
		return "", plotError(errors.Annotatef(err, "burn of %s", s.Name))
	}
	addBudgetLine(p, s.Points)
	p.Y.Max = max(p.Y.Max*1.1, 2) // Keeps the line at 1 well below the top of a plot of low rates.
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", plotError(errors.Annotatef(err, "SVG of %s", s.Name))
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // Drops the XML declaration.
	return template.HTML("<svg" + svg), nil      // Safe unescaped, as it holds no text from outside.
}

// tickFormat is the format of tick labels. It includes the day, as the longest
// plot spans three.
const tickFormat = "2 Jan 15:04"

// maxTickSteps bounds the number of steps between ticks.
const maxTickSteps = 6

// timeTicks returns ticks at whole multiples of a step, so that they fall on
// round clock times.
func timeTicks(from, to float64) []plot.Tick {
	step := math.Ceil((to-from)/maxTickSteps/minTickStep) * minTickStep
	var ticks []plot.Tick
	for at := math.Ceil(from/step) * step; at <= to; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: " "}) // plot.TimeTicks formats the label of ticks that have one.
	}
	return ticks
}

// minTickStep is the shortest step between ticks.
const minTickStep = 600 // seconds

func plotError(err error) error {
	return cowslipbend.Failf(cowslipbend.KindBroken, err, "ask for the report as text", "cannot render the plot")
}

// addBurn draws the points as a step line, filled below.
func addBurn(p *plot.Plot, points []reporter.Point) error {
	var xys plotter.XYs
	for _, point := range points {
		xys = append(xys, plotter.XY{X: seconds(point.StartAt), Y: point.BurnRate})
	}
	if len(xys) == 0 {
		return nil
	}
	line, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	line.StepStyle = plotter.PostStep
	line.LineStyle = lineStyle(vg.Points(1.5), blue)
	line.FillColor = translucentBlue //nolint:misspell // The library's name.
	p.Add(line)
	return nil
}

// addBudgetLine draws a dashed line at burn rate 1, at which the budget is
// spent as fast as it renews.
func addBudgetLine(p *plot.Plot, points []reporter.Point) {
	if len(points) == 0 {
		return
	}
	budgetLine := plotter.NewFunction(func(float64) float64 { return 1 })
	budgetLine.XMin, budgetLine.XMax = seconds(points[0].StartAt), seconds(points[len(points)-1].StartAt)
	budgetLine.Samples = 2
	budgetLine.LineStyle = lineStyle(vg.Points(1), red)
	budgetLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(budgetLine)
}

func seconds(t cowslipbend.Time) float64 { return float64(t) / float64(cowslipbend.Second) }
