package renderer

import (
	"bytes"
	_ "embed" // for the page
	"html/template"
	"io"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/reporter"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the template.
type page struct {
	At       string
	Partial  string
	Services []section
}

type section struct {
	Name      cowslipbend.ServiceID
	Objective string
	Left      string
	Spent     bool
	Alerts    []reporter.Alert
	Windows   []windowRow
	Plot      template.HTML
}

type windowRow struct {
	reporter.Counts
	Span string
	Burn string
}

// HTML writes a report as one self-contained HTML page.
func HTML(w io.Writer, r reporter.Report) error {
	p := page{At: time.UnixMilli(int64(r.GeneratedAt)).UTC().Format("2 January 2006 15:04 UTC"), Partial: r.PartialReason}
	for _, s := range r.Services {
		sec := section{Name: s.Name, Objective: Objective(s.Objective), Left: BudgetLeft(s), Spent: s.BudgetLeft < 0, Alerts: s.Alerts}
		for _, window := range s.Windows {
			sec.Windows = append(sec.Windows, windowRow{Counts: window.Counts, Span: Span(window.Span), Burn: BurnRate(window)})
		}
		svg, err := renderPlot(s)
		if err != nil {
			return err
		}
		sec.Plot = svg
		p.Services = append(p.Services, sec)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, p); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "cannot render the HTML page")
	}
	_, err := w.Write(b.Bytes())
	return err
}
