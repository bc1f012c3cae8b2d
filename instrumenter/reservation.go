package instrumenter

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev/reserver"
)

// reservationMetrics are the metrics of reservations for large tasks.
type reservationMetrics struct {
	changes *prometheus.CounterVec
	hosts   prometheus.Gauge
}

func newReservationMetrics(reg prometheus.Registerer) reservationMetrics {
	m := reservationMetrics{
		changes: counterVec("cowslip_reservations_total", "Reservations of hosts for large waiting tasks that were made, used or lost, by the reason of a loss.", "outcome", "reason"),
		hosts:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "cowslip_reserved_hosts", Help: "Hosts that the owner reserves for large waiting tasks."}),
	}
	reg.MustRegister(m.changes, m.hosts)
	return m
}

// RecordReservations counts changes of reservations, and records how many hosts are
// reserved.
func (i *Instrumenter) RecordReservations(events []reserver.Event, hosts int) {
	if i == nil {
		return
	}
	for j := range events {
		i.reservations.changes.WithLabelValues(string(events[j].Kind), string(events[j].Reason)).Inc()
	}
	i.reservations.hosts.Set(float64(hosts))
}
