package joiner

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/cordoner"
	"cowslipbend.dev/internal/meter"
	"cowslipbend.dev/platform"
)

// domainMargin is the part of the platform's time for taking a failure domain out
// of service that is left for a start on its way: the call to the agent and that
// of the agent to its runner.
const domainMargin = 500 * cowslipbend.Millisecond

// domainSettings returns the conductor's settings for failure domains out of
// service. Where the platform sets no time for them, old knowledge does not keep
// the conductor from placing runs.
func domainSettings(c *cordoner.Cordoner, bounds *platform.Bounds) conductor.DomainSettings {
	s := conductor.DomainSettings{Cordoner: c}
	if bounds.Evacuation > 0 {
		s.MaxAge = max(bounds.Evacuation-domainMargin, domainMargin)
	}
	return s
}

// observeDomains registers the metrics of the requests.
func observeDomains(reg *prometheus.Registry, c *cordoner.Cordoner, clock cowslipbend.Clock) {
	meter.Gauge(reg, "cowslip_domains_requested_out", "Failure domains that the operator has taken out of service, unknown ones included.",
		func() float64 { return float64(len(c.Requests())) })
	meter.Gauge(reg, "cowslip_domains_read_age_seconds", "Time since the beginning of the last read of the failure domains out of service that was answered.",
		func() float64 { return clock.Now().Sub(c.AskedAt()).Duration().Seconds() })
	meter.Gauge(reg, "cowslip_domains_malformed_rows", "Malformed rows of requests for failure domains that this process has read.",
		func() float64 { return float64(c.Malformed()) })
}
