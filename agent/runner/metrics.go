package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/meter"
)

// Descriptions of the metrics that are read from the gate and the tasker.
var (
	descSlots       = prometheus.NewDesc("cowslip_endpoint_slots", "Slots of the local endpoints.", []string{"service"}, nil)
	descInFlight    = prometheus.NewDesc("cowslip_endpoint_inflight", "Requests in flight at the local endpoints.", []string{"service"}, nil)
	descConnections = prometheus.NewDesc("cowslip_endpoint_connections", "Connections in use by requests and watches at the local endpoints.", []string{"service"}, nil)
	descTasks       = prometheus.NewDesc("cowslip_tasks", "Tasks that run on this worker.", nil, nil)
	descReports     = prometheus.NewDesc("cowslip_reports_pending", "Ended attempts that the pool's owner has not acknowledged.", nil, nil)
	descCPU         = prometheus.NewDesc("cowslip_tasks_cpu_cores", "Processor cores that the tasks used when last measured.", nil, nil)
)

// stateCollector reads the state of an agent at each collection.
type stateCollector struct{ agent *Agent }

// Describe sends the descriptions of the metrics.
func (stateCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descSlots, descInFlight, descConnections, descTasks, descReports, descCPU} {
		descs <- d
	}
}

// Collect sends the current values of the metrics.
func (c stateCollector) Collect(metrics chan<- prometheus.Metric) {
	slots, inFlight := map[cowslipbend.ServiceID]float64{}, map[cowslipbend.ServiceID]float64{}
	connections := map[cowslipbend.ServiceID]float64{}
	for _, e := range c.agent.gate.Endpoints() {
		slots[e.Service] += float64(e.Slots)
		inFlight[e.Service] += float64(e.UsedSlots)
		connections[e.Service] += float64(e.OpenConns)
	}
	for service, n := range slots {
		metrics <- prometheus.MustNewConstMetric(descSlots, prometheus.GaugeValue, n, string(service))
		metrics <- prometheus.MustNewConstMetric(descInFlight, prometheus.GaugeValue, inFlight[service], string(service))
		metrics <- prometheus.MustNewConstMetric(descConnections, prometheus.GaugeValue, connections[service], string(service))
	}
	view := c.agent.tasks.View()
	cores := 0.0
	for _, t := range view.Usage {
		cores += float64(t.Usage.CPU) / float64(cowslipbend.Core)
	}
	metrics <- prometheus.MustNewConstMetric(descTasks, prometheus.GaugeValue, float64(len(view.Usage)))
	metrics <- prometheus.MustNewConstMetric(descReports, prometheus.GaugeValue, float64(len(view.Reports)))
	metrics <- prometheus.MustNewConstMetric(descCPU, prometheus.GaugeValue, cores)
}

func newMetrics(a *Agent) *prometheus.Registry {
	reg := meter.NewRegistry(func() float64 { return float64(a.config.Revision()) })
	reg.MustRegister(stateCollector{agent: a})
	return reg
}

// Metrics returns the registry of the agent.
func (a *Agent) Metrics() *prometheus.Registry { return a.metrics }
