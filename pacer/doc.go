// Package pacer controls the pace of the filling runs of a host, which is the
// share of their full speed at which they work, from the tail latencies of its
// serving runs. It is made for hosts on which the interference between tasks
// changes within seconds. Package supervisor measures the latencies and sets
// the paces.
package pacer
