package runner

import "github.com/prometheus/client_golang/prometheus"

// metrics returns the registry of the agent, which reads the gate when asked.
func (a *Agent) metrics() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	gauge := func(name, help string, read func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("cowslipbend_endpoint_slots", "Slots of the endpoints of this host.", func() float64 { return float64(a.sum().slots) })
	gauge("cowslipbend_endpoint_slots_taken", "Slots that requests take now.", func() float64 { return float64(a.sum().inflight) })
	gauge("cowslipbend_endpoint_connections_taken", "Connections that requests and watches take now.", func() float64 { return float64(a.sum().open) })
	return reg
}

type totals struct{ slots, inflight, open int }

// sum adds up the endpoints of this host.
func (a *Agent) sum() totals {
	var t totals
	for _, ep := range a.gate.Endpoints() {
		t.slots += ep.Slots
		t.inflight += ep.Inflight
		t.open += ep.Open
	}
	return t
}
