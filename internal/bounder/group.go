package bounder

import (
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
)

// Group holds the bounders of a process, and collects their metrics.
type Group struct {
	clock    cowslipbend.Clock
	log      hclog.Logger
	bounders []*Bounder
}

// NewGroup returns an empty group.
func NewGroup(clock cowslipbend.Clock, log hclog.Logger) *Group {
	return &Group{clock: clock, log: log}
}

// Add returns a new bounder of the group. All of them are added before metrics are collected.
func (g *Group) Add(l Limits) *Bounder {
	b := New(l, g.clock, g.log)
	g.bounders = append(g.bounders, b)
	return b
}

var (
	openMetric = prometheus.NewDesc("cowslip_peer_connections", "Open connections to a listener.", []string{"listener"}, nil)
	heldMetric = prometheus.NewDesc("cowslip_peer_body_bytes", "Memory that is counted for the bodies of requests to a listener.", []string{"listener"}, nil)
	refused    = prometheus.NewDesc("cowslip_peers_refused_total",
		"Connections that were closed and bodies that were refused at a listener, by the limit that they met; slow counts bodies that did not arrive in time.", []string{"listener", "cause"}, nil)
)

// Describe is that of prometheus.Collector.
func (g *Group) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{openMetric, heldMetric, refused} {
		ch <- d
	}
}

// Collect is that of prometheus.Collector.
func (g *Group) Collect(ch chan<- prometheus.Metric) {
	for _, b := range g.bounders {
		b.collect(ch)
	}
}

func (b *Bounder) collect(ch chan<- prometheus.Metric) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch <- prometheus.MustNewConstMetric(openMetric, prometheus.GaugeValue, float64(b.conns), b.limits.Name)
	ch <- prometheus.MustNewConstMetric(heldMetric, prometheus.GaugeValue, float64(b.held), b.limits.Name)
	for _, c := range []Cause{CauseConns, CauseHeader, CauseBodies, CauseSlow} {
		ch <- prometheus.MustNewConstMetric(refused, prometheus.CounterValue, float64(b.refused[c]), b.limits.Name, string(c))
	}
}
