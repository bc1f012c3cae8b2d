package placer

import "cowslipbend.dev"

// Interference estimates how much each class of tasks slows the services beside
// it. A guard learns from the measurements of its own worker; Guarded, in the
// pool's owner, learns from those of all workers.
type Interference struct{ model interferenceModel }

// NewInterference returns an estimate without measurements.
func NewInterference() *Interference { return &Interference{model: newInterferenceModel()} }

// Learn takes a measurement of a service and of what ran beside it.
func (i *Interference) Learn(s cowslipbend.Sample) { i.model.learn(&s) }

// Coefficient returns the slow-down of a service by each core that tasks of the
// neighbouring class use, as a part of its tail latency without neighbours.
func (i *Interference) Coefficient(service, neighbour cowslipbend.Class) float64 {
	return i.model.coefficient(service, neighbour)
}
