package main

import (
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	agent "cowslipbend.dev/agent/runner"
	entry "cowslipbend.dev/entry/runner"
	"cowslipbend.dev/internal/meter"
	"cowslipbend.dev/timer"
)

// TestMetrics checks that the operators' page of metrics matches the metrics
// that the programs register. -update rewrites the page.
func TestMetrics(t *testing.T) {
	es := entry.Defaults()
	es.ID, es.Domain, es.Listen = "e1", "d1", loopback
	e, err := entry.New(es, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	defer e.Kill()
	as := agent.Defaults()
	as.ID, as.Pool, as.Domain, as.Rack, as.Listen, as.Local = "w1", "p", "d1", "r1", loopback, loopback
	a, err := agent.New(as, timer.Host{}, hclog.NewNullLogger())
	assert.NilError(t, err)
	defer a.Kill()
	text := "# Metrics\n\nEach program serves these at `/metrics` in the text format of Prometheus,\n" +
		"besides the usual `go_` and `process_` metrics. Labels take their values from\nthe declared set or from fixed lists. " +
		"Written by the test TestMetrics from the\nprograms' registries.\n" +
		"\n## entry\n\n" + meter.Table(meter.List(e.Metrics())) + "\n## agent\n\n" + meter.Table(meter.List(a.Metrics()))
	page, err := filepath.Abs("../docs/operate/metrics.md")
	assert.NilError(t, err)
	golden.Assert(t, text, page)
	t.Run("names follow the conventions", func(t *testing.T) {
		for _, reg := range []*prometheus.Registry{e.Metrics(), a.Metrics()} {
			problems, err := testutil.GatherAndLint(reg)
			assert.NilError(t, err)
			assert.Equal(t, len(problems), 0, "%v", problems)
		}
	})
}
