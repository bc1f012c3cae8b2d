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
	blue  = color.NRGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff}
	shade = color.NRGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0x30}
	red   = color.NRGBA{R: 0xb3, G: 0x26, B: 0x1e, A: 0xff}
)

// stroke returns the style of a line.
//
//nolint:misspell // The library's names.
func stroke(width vg.Length, c color.Color) draw.LineStyle {
	return draw.LineStyle{Color: c, Width: width}
}

// plotOf draws the burn of a service over time as SVG.
func plotOf(s reporter.Service) (template.HTML, error) {
	if n := len(s.Windows); n == 0 || s.Windows[n-1].Total() == 0 {
		return "<p>No requests in three days.</p>", nil
	}
	p := plot.New()
	p.X.Label.Text = "time (UTC)"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Ticker: plot.TickerFunc(clockTicks), Format: clockFormat}
	p.Add(plotter.NewGrid())
	if err := addBurn(p, s.Points); err != nil {
		return "", drawing(errors.Annotatef(err, "burn of %s", s.Name))
	}
	addSustainable(p, s.Points)
	p.Y.Max = max(p.Y.Max*1.1, 2) // Leave room above a curve that stays low.
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", drawing(errors.Annotatef(err, "SVG of %s", s.Name))
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // Without the XML declaration.
	return template.HTML("<svg" + svg), nil      // All of its text is ours.
}

// clockFormat names a tick. It has the day, as the longest plot shows three.
const clockFormat = "2 Jan 15:04"

// tickCount is how many steps a plot has.
const tickCount = 6

// clockTicks puts ticks at whole steps of the clock.
func clockTicks(from, to float64) []plot.Tick {
	step := math.Ceil((to-from)/tickCount/clockStep) * clockStep
	var ticks []plot.Tick
	for at := math.Ceil(from/step) * step; at <= to; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: " "}) // TimeTicks names those with a label.
	}
	return ticks
}

// clockStep is the shortest step.
const clockStep = 600 // seconds

func drawing(err error) error {
	return cowslipbend.Failf(cowslipbend.KindBroken, err, "ask for the report as text", "plot cannot be drawn")
}

// addBurn draws the points as steps, filled below.
func addBurn(p *plot.Plot, points []reporter.Point) error {
	var xys plotter.XYs
	for _, n := range points {
		xys = append(xys, plotter.XY{X: seconds(n.At), Y: n.Burn})
	}
	if len(xys) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.StepStyle = plotter.PostStep
	l.LineStyle = stroke(vg.Points(1.5), blue)
	l.FillColor = shade //nolint:misspell // The library's name.
	p.Add(l)
	return nil
}

// addSustainable draws the dashed line at burn 1.
func addSustainable(p *plot.Plot, points []reporter.Point) {
	if len(points) == 0 {
		return
	}
	f := plotter.NewFunction(func(float64) float64 { return 1 })
	f.XMin, f.XMax = seconds(points[0].At), seconds(points[len(points)-1].At)
	f.Samples = 2
	f.LineStyle = stroke(vg.Points(1), red)
	f.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(f)
}

func seconds(t cowslipbend.Time) float64 { return float64(t) / float64(cowslipbend.Second) }
