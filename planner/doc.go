// Package planner decides for the flows of a pool of hosts: which tasks run
// where and in which order, and when a run has ended for certain. It reads no
// clock and speaks to nobody; package conductor feeds it, commits what it
// decides and sends its orders.
//
// A task runs at most once at a time. A run's place on a host is kept until
// the runner lists its end, says that it cannot begin any more, is replaced,
// or has certainly lost its lease.
package planner
