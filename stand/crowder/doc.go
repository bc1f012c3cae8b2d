// Package crowder plays clients that do not behave against the real programs: bodies and
// headers that stop short of their end, bodies of legal size that decode to much more,
// replies that are never read, and connections that send nothing. One entry and one agent
// run as processes on loopback with small limits, beside the stand-ins of packages metastore
// and hostrunner. The package observes the memory and the descriptors of a process from
// outside, and submits ordinary jobs as callers do.
//
// Package soaker injects faults into processes whose clients behave.
package crowder
