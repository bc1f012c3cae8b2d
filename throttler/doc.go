// Package throttler implements the guard of one worker: a feedback controller
// that protects latency-critical services from the batch tasks on the same
// machine. At each poll of the worker it compares the tail latencies of the
// services with their objectives. If a service is too slow, it throttles
// batch, the most harmful class first, evicts batch only if throttling does
// not help, and restores CPU shares step by step. It also limits tasks that
// use more than they reserved.
//
// The package only decides; the agent carries the actions out through
// cowslipbend.Machine. The pool's owner places tasks so that the guard rarely
// has to act; see package placer.
package throttler
