// Package leaser decides how long an owner may let batch work run, and when a
// successor may count the leases of its predecessors as lapsed. It compares
// no clocks of two hosts and talks to nobody: package scheduler tells it what
// happened and when.
//
// Account is the owner's side, Witness that of an entry that backs an owner
// while the store is out, and Lapse the successor's. Together they keep this
// invariant: once the successor counts the old leases as lapsed, no agent
// runs batch work under one.
package leaser
