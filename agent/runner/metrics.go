package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/meter"
)

// Descriptions of the metrics that are read from the gate and the tasks.
var (
	descSlots    = prometheus.NewDesc("cowslip_endpoint_slots", "Slots of the local endpoints.", []string{"service"}, nil)
	descInflight = prometheus.NewDesc("cowslip_endpoint_inflight", "Requests in flight at the local endpoints.", []string{"service"}, nil)
	descOpen     = prometheus.NewDesc("cowslip_endpoint_connections", "Connections that requests and watchers take at the local endpoints.", []string{"service"}, nil)
	descTasks    = prometheus.NewDesc("cowslip_tasks", "Tasks that run here.", nil, nil)
	descReports  = prometheus.NewDesc("cowslip_reports_pending", "Ended attempts that the pool's owner has not acknowledged.", nil, nil)
	descCPU      = prometheus.NewDesc("cowslip_tasks_cpu_cores", "Processor cores that the tasks used when last measured.", nil, nil)
)

// collector reads the state of an agent when it is asked for metrics.
type collector struct{ agent *Agent }

// Describe sends the descriptions.
func (collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descSlots, descInflight, descOpen, descTasks, descReports, descCPU} {
		to <- d
	}
}

// Collect sends the values.
func (c collector) Collect(to chan<- prometheus.Metric) {
	slots, inflight := map[cowslipbend.ServiceID]float64{}, map[cowslipbend.ServiceID]float64{}
	open := map[cowslipbend.ServiceID]float64{}
	for _, e := range c.agent.gate.Endpoints() {
		slots[e.Service] += float64(e.Slots)
		inflight[e.Service] += float64(e.Inflight)
		open[e.Service] += float64(e.Open)
	}
	for service, n := range slots {
		to <- prometheus.MustNewConstMetric(descSlots, prometheus.GaugeValue, n, string(service))
		to <- prometheus.MustNewConstMetric(descInflight, prometheus.GaugeValue, inflight[service], string(service))
		to <- prometheus.MustNewConstMetric(descOpen, prometheus.GaugeValue, open[service], string(service))
	}
	view := c.agent.tasks.View()
	cores := 0.0
	for _, t := range view.Usage {
		cores += float64(t.Usage.CPU) / float64(cowslipbend.Core)
	}
	to <- prometheus.MustNewConstMetric(descTasks, prometheus.GaugeValue, float64(len(view.Usage)))
	to <- prometheus.MustNewConstMetric(descReports, prometheus.GaugeValue, float64(len(view.Reports)))
	to <- prometheus.MustNewConstMetric(descCPU, prometheus.GaugeValue, cores)
}

func newMetrics(a *Agent) *prometheus.Registry {
	reg := meter.NewRegistry(func() float64 { return float64(a.config.Revision()) })
	reg.MustRegister(collector{agent: a})
	return reg
}

// Metrics returns the registry of the agent.
func (a *Agent) Metrics() *prometheus.Registry { return a.metrics }
