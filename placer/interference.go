package placer

import "cowslipbend.dev"

// Interference is what one process has learned of how much classes of tasks
// slow down the services beside them. The owner of a pool learns from all
// workers, a guard from its own.
type Interference struct{ pairs pairs }

// NewInterference returns an estimate that has learned nothing yet.
func NewInterference() *Interference { return &Interference{pairs: newPairs()} }

// Learn takes a measurement of a service and of what ran beside it then.
func (i *Interference) Learn(s cowslipbend.Sample) { i.pairs.learn(&s) }

// Harm returns the slow-down of the service's class by each core that a task
// of the other class uses, as a part of its tail without neighbours.
func (i *Interference) Harm(service, other cowslipbend.Class) float64 {
	return i.pairs.harm(service, other)
}
