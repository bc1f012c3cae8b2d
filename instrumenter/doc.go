// Package instrumenter holds the Prometheus counters and histograms of flows.
// The packages that run flows record events in it, and the programs serve its
// metrics. Names and units follow package meter.
package instrumenter
