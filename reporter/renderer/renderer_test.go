package renderer

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/reporter"
)

// sampleReport returns a report on a service with alerts and one without
// requests.
func sampleReport() reporter.Report {
	objective := cowslipbend.Objective{P99: 40, Good: 0.999}
	burning := reporter.Service{Name: "settle", Objective: objective, BudgetLeft: -1.5, Alerts: []reporter.Alert{
		{Page: true, Threshold: 14.4, Long: cowslipbend.Hour, Short: 5 * cowslipbend.Minute, Reason: "burns 20.0 over 1h0m0s"},
		{Threshold: 1, Long: 3 * cowslipbend.Day, Reason: "burns 2.5 over 72h0m0s"},
	}}
	quiet := reporter.Service{Name: "parcels<b>", Objective: objective, BudgetLeft: 1}
	for _, span := range []cowslipbend.Span{5 * cowslipbend.Minute, cowslipbend.Hour, 6 * cowslipbend.Hour, 3 * cowslipbend.Day} {
		burning.Windows = append(burning.Windows, reporter.Window{Span: span, BurnRate: 20, Counts: reporter.Counts{Good: 980, Late: 12, Refused: 5, Failed: 2, Unknown: 1, Limited: 7}})
		quiet.Windows = append(quiet.Windows, reporter.Window{Span: span})
	}
	const begin = 1_800_000_000_000
	for i := range 60 {
		point := reporter.Point{StartAt: cowslipbend.Time(begin + i*60_000), BurnRate: float64(i%20) * float64(i/30)}
		burning.Points = append(burning.Points, point)
	}
	return reporter.Report{GeneratedAt: begin + 3_600_000, Services: []reporter.Service{burning, quiet}}
}

func TestText(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Text(&b, sampleReport()))
	for _, want := range []string{"99.9% in 40ms", "page: settle burns 20.0", "ticket: settle burns 2.5", "-150.0%", "3d"} {
		assert.Assert(t, strings.Contains(b.String(), want), "%s", b.String())
	}
}

func TestHTML(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, HTML(&b, sampleReport()))
	page := b.String()
	if name := os.Getenv("BURN_PAGE"); name != "" {
		assert.NilError(t, os.WriteFile(name, b.Bytes(), 0o600))
	}
	t.Run("names are escaped", func(t *testing.T) {
		assert.Assert(t, strings.Contains(page, "parcels&lt;b&gt;"))
		assert.Assert(t, !strings.Contains(page, "parcels<b>"))
	})
	t.Run("the page is self-contained", func(t *testing.T) {
		for _, tag := range []string{"<script", "<link", "<img", "src=", "@import"} {
			assert.Assert(t, !strings.Contains(page, tag), tag)
		}
		assert.Equal(t, strings.Count(page, "<svg"), 1)
		assert.Assert(t, strings.Contains(page, "No requests in three days"))
	})
	t.Run("alerts and an overspent budget are highlighted", func(t *testing.T) {
		assert.Assert(t, strings.Contains(page, `<p class="alert">Page: burns 20.0`))
		assert.Assert(t, strings.Contains(page, `class="spent"`))
	})
}
