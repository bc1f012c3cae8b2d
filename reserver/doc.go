// Package reserver decides for which waiting tasks hosts are reserved ahead, and
// which other tasks may use a reserved host meanwhile (reservation with
// backfilling). It has no network and no clock; package planner converts its
// state into the inputs.
//
// It answers a load in which many small tasks and few large ones compete for full
// hosts: each run that ends leaves a gap that is too small for a large task and
// that the next small one fills, so that the large ones wait for as long as small
// ones arrive. On the users' platform most large tasks are filling ones, which
// need memory, idle processors and serving tasks beside them that can take more
// load; short flows need processors and memory.
//
// A reservation names a host and the time at which enough of its runs are
// expected to have ended. Until then the host takes tasks that are expected to
// end before that time, tasks that fit beside the reservation, serving tasks, and
// tasks of flows with a higher priority.
package reserver
