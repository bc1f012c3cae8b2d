// Package sequencer orders waiting flows. It reads no clock and does no I/O.
//
// It answers loads at which flows with a latency target compete for too little
// capacity. Flows of a higher priority go first, then those that can still meet their
// target, then those that can be late but useful, then the rest. Within a class, the
// flow with the highest value for each remaining core second goes first. Two rules
// bound what this order does to some flows: the largest flows of a queue get a share
// of the room while they are served less often than the queue, and the flows of an
// account that uses much more than the others count less.
//
// Flows without a target have their place behind those that can meet one, with the
// least remaining work first.
package sequencer
