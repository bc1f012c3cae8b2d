// Package conductor owns the flows for one epoch: it follows what is accepted
// and cancelled, takes the reports of the agents, has package planner decide,
// commits each decision under the fence of its epoch, and only then sends
// orders and acknowledges ends.
//
// Package elector decides which entry conducts; package intaker accepts flows
// at every entry; package supervisor carries out the orders beside each runner.
package conductor
