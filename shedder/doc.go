// Package shedder decides at an entry whether a submitted flow is refused for load. It
// reads no clock and does no I/O.
//
// It answers overload that lasts: flows that wait so long that their callers no longer
// use them when they end. Such a flow is refused before it is stored, so that its
// caller can come back once there is room. As a refusal can cost a caller the whole
// flow, it needs certainty: the owner's summary of what waits is taken with the least
// work that goes before the flow, the full capacity, the shortest run times for the end
// of the flow and the longest ones for the time in which it is useful. Nothing is
// refused while processors are free, without a summary, or for a class of flows whose
// run times are not known.
package shedder
