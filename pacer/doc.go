// Package pacer decides at which share the filling runs of a host work, from
// the tail latencies that its serving runs report. It answers the load of one
// host whose tasks press on each other by amounts that change within seconds.
// Package supervisor measures the latencies and sets the shares.
package pacer
