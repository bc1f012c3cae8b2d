// Package meter holds what the metrics of all programs share: the registry
// with the metrics of the process itself, and a list of all metrics for the
// operators' pages. Names begin with cowslip_, counters end in _total, and
// times are in seconds. Labels take their values from the declared set or
// from fixed lists, never from what callers send.
package meter

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// NewRegistry returns a registry with the usual metrics of a Go process and
// the revision that is in force.
func NewRegistry(revision func() float64) *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	Gauge(reg, "cowslip_config_revision", "Revision of the configuration in force.", revision)
	return reg
}

// Gauge registers a gauge that is read when it is asked for.
func Gauge(reg prometheus.Registerer, name, help string, read func() float64) {
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Metric describes one metric of the system.
type Metric struct {
	Name   string
	Help   string
	Labels []string
}

// description takes a prometheus.Desc apart, which has no other way to tell
// its parts.
var description = regexp.MustCompile(`fqName: "([^"]*)", help: "((?:[^"\\]|\\.)*)", unit: "[^"]*", constLabels: {[^}]*}, variableLabels: {([^}]*)}`)

// List returns the metrics of the system in a registry by name, without
// those of the process itself.
func List(c prometheus.Collector) []Metric {
	descs := make(chan *prometheus.Desc)
	var list []Metric
	done := collect(c, descs)
	for d := range descs {
		m := description.FindStringSubmatch(d.String())
		if m == nil || !strings.HasPrefix(m[1], "cowslip_") {
			continue
		}
		metric := Metric{Name: m[1], Help: m[2]}
		if m[3] != "" {
			metric.Labels = strings.Split(m[3], ",")
		}
		list = append(list, metric)
	}
	<-done
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Table writes metrics as a table in Markdown.
func Table(list []Metric) string {
	var b strings.Builder
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, m := range list {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, strings.Join(m.Labels, ", "), m.Help)
	}
	return b.String()
}
