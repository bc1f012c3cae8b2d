package firm

import "cowslipbend.dev"

// Workload describes the tasks of one class of batch.
type Workload struct {
	Class cowslipbend.Class
	Team  cowslipbend.TeamID
	Size  cowslipbend.Resources
	// Length is the run time of a task at full speed, without other tasks on the
	// worker.
	Length cowslipbend.Span
	Tasks  int
}

// pair names a class that is slowed down and the class that causes it.
type pair struct {
	victim, aggressor cowslipbend.Class
}

// slowdowns holds the interference coefficient of pairs: to first order, the
// share by which the run time of the victim grows on a worker whose processors
// are all used by the aggressor. Pairs that are not listed have defaultSlowdown.
var slowdowns = map[pair]float64{
	{"settle", "netting"}:    0.05,
	{"settle", "audit"}:      3,
	{"netting", "audit"}:     0.3,
	{"audit", "audit"}:       1,
	{"parcels", "bundle"}:    0.05,
	{"parcels", "cadastre"}:  3,
	{"bundle", "cadastre"}:   0.3,
	{"cadastre", "cadastre"}: 1,
}

// defaultSlowdown is the coefficient of pairs with little interference.
const defaultSlowdown = 0.02

// Slowdown returns the interference coefficient of the pair.
func Slowdown(victim, aggressor cowslipbend.Class) float64 {
	if slowdown, listed := slowdowns[pair{victim, aggressor}]; listed {
		return slowdown
	}
	return defaultSlowdown
}
