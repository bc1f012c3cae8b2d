// Package throttler is the guard of one worker. At each look at the worker it
// compares the tails of the services with their objectives, and throttles
// batch, the most harmful class first, evicts it only if that does not help,
// and releases it slowly. It also bounds tasks that use more than they
// reserved.
//
// It decides only; the agent carries the actions out through
// cowslipbend.Machine. Placement by the owner of the pool, package placer, is
// what keeps the guard idle.
package throttler
