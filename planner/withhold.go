package planner

import (
	"cowslipbend.dev"
)

// Withhold makes Submit ignore a flow: its progress is stored but cannot be read, so
// that it must not run from the start. Its runs go on, unless it is cancelled, as a
// later owner may be able to read it.
func (p *Planner) Withhold(def *cowslipbend.Flow) { p.withheld[def.ID] = def }

// withheldStep returns the step of a task of a withheld flow, or nil.
func (p *Planner) withheldStep(ref cowslipbend.TaskRef) *cowslipbend.Step {
	def := p.withheld[ref.Job]
	if def == nil || ref.Step < 0 || ref.Step >= len(def.Steps) {
		return nil
	}
	return &def.Steps[ref.Step]
}

// mayRunWithheld reports whether the runs of a withheld flow go on.
func (p *Planner) mayRunWithheld(id cowslipbend.JobID) bool {
	return p.withheld[id] != nil && !p.earlyCancels[id]
}
