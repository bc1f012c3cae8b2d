// Package conductor owns the flows for one epoch: it follows accepted and
// cancelled flows, applies the reports of the agents, has package planner
// decide, commits each decision under the fence of its epoch, and only then
// sends orders and acknowledges the ends of runs.
//
// Package elector decides which entry runs a conductor; package intaker accepts
// flows at every entry; package supervisor carries out the orders beside each
// runner.
package conductor
