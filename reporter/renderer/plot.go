package renderer

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

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

// plotOf draws the burn of a service over time as SVG.
func plotOf(s reporter.Service) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "time (UTC)"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Add(plotter.NewGrid())
	if err := addBurn(p, s.Points); err != nil {
		return "", drawing(err)
	}
	addSustainable(p, s.Points)
	p.Y.Max = max(p.Y.Max*1.1, 2) // Leave room above a curve that stays low.
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", drawing(err)
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // Without the XML declaration.
	return template.HTML("<svg" + svg), nil      //nolint:gosec // All of its text is ours.
}

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
	l.Color = color.NRGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff}
	l.Width = vg.Points(1.5)
	l.FillColor = color.NRGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0x30}
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
	f.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	f.Color = color.NRGBA{R: 0xb3, G: 0x26, B: 0x1e, A: 0xff}
	p.Add(f)
}

func seconds(t cowslipbend.Time) float64 { return float64(t) / float64(cowslipbend.Second) }
