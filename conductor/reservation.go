package conductor

import (
	"cowslipbend.dev/reserver"
)

// reportReservations logs and counts how the reservations for large tasks have
// changed, and records how many hosts are reserved.
func (c *Conductor) reportReservations(events []reserver.Event, reservedHosts int) {
	for i := range events {
		e := &events[i]
		v := &e.Reservation
		fields := []any{"flow", v.Key.Job, "round", v.Key.Round, "step", v.Key.Step, "host", v.Host, "tasks", v.Count}
		switch e.Kind {
		case reserver.Made:
			c.log.Info("reservation made", append(fields, "ahead", v.At.Sub(v.MadeAt))...)
		case reserver.Used:
			c.log.Info("reservation used", append(fields, "held", v.EndedAt.Sub(v.MadeAt))...)
		case reserver.Lost:
			c.log.Info("reservation given up", append(fields, "held", v.EndedAt.Sub(v.MadeAt), "reason", e.Reason)...)
		}
	}
	c.settings.Metrics.RecordReservations(events, reservedHosts)
}
