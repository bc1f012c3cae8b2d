// Package leaser decides how long an owner may grant leases for batch work,
// and when a successor may treat the leases of its predecessors as lapsed. It
// does no I/O and never compares the clocks of two hosts: package scheduler
// reports each event with its time on the local clock.
//
// OwnerState is the owner's side. Witness is the side of an entry that confirms
// an owner's epoch while the store is unavailable. Terms.PriorLeasesEnd is the
// successor's side. Together they keep this invariant: once the successor
// treats the old leases as lapsed, no agent runs batch work under one.
package leaser
