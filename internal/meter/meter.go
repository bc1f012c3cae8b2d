// Package meter holds what the metrics of all programs have in common: the
// registry with the metrics of the process, and the list of all metrics for the
// operators' pages. Names begin with cowslip_, those of counters end in _total,
// and times are in seconds. Labels take their values from the declared
// configuration or from fixed lists, never from the input of callers, which would
// make the number of series unbounded.
package meter

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// NewRegistry returns a registry with the usual metrics of a Go process and the
// revision of the configuration in force.
func NewRegistry(revision func() float64) *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	Gauge(reg, "cowslip_config_revision", "Revision of the configuration in force.", revision)
	return reg
}

// Gauge registers a gauge whose value is read at each scrape.
func Gauge(reg prometheus.Registerer, name, help string, read func() float64) {
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Metric describes one metric of the system.
type Metric struct {
	Name   string
	Help   string
	Labels []string
}

// descPattern matches the text of a prometheus.Desc, which gives access to its
// name, help text and labels in no other way.
var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "((?:[^"\\]|\\.)*)", unit: "[^"]*", constLabels: {[^}]*}, variableLabels: {([^}]*)}`)

// List returns the metrics of a registry whose names begin with cowslip_, sorted
// by name.
func List(c prometheus.Collector) []Metric {
	descs := make(chan *prometheus.Desc)
	var list []Metric
	done := describe(c, descs)
	for d := range descs {
		match := descPattern.FindStringSubmatch(d.String())
		if match == nil || !strings.HasPrefix(match[1], "cowslip_") {
			continue
		}
		metric := Metric{Name: match[1], Help: match[2]}
		if match[3] != "" {
			metric.Labels = strings.Split(match[3], ",")
		}
		list = append(list, metric)
	}
	<-done
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Table returns a table of the metrics in Markdown.
func Table(list []Metric) string {
	var b strings.Builder
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, m := range list {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, strings.Join(m.Labels, ", "), m.Help)
	}
	return b.String()
}
