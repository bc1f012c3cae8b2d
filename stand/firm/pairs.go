package firm

import "cowslipbend.dev"

// Kind is one kind of batch that a firm submits.
type Kind struct {
	Class cowslipbend.Class
	Team  cowslipbend.TeamID
	Size  cowslipbend.Resources
	// Length is the run time of a task at full speed and without neighbours.
	Length cowslipbend.Span
	Tasks  int
}

// pair names a class that is slowed down and the class that does it.
type pair struct {
	victim, other cowslipbend.Class
}

// slowdowns holds how much the victim is slowed down by a worker whose
// processors are all used by the other class. A pair that is not listed has
// slightSlowdown.
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

// slightSlowdown is that of pairs that get on well.
const slightSlowdown = 0.02

// Slowdown returns how much a class suffers from another.
func Slowdown(victim, other cowslipbend.Class) float64 {
	if k, listed := slowdowns[pair{victim, other}]; listed {
		return k
	}
	return slightSlowdown
}
