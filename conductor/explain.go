package conductor

import (
	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// PathPlacement is the path of questions about placement.
const PathPlacement = "/owner/placement"

// Explain answers a question about placement.
func (c *Conductor) Explain(q *planner.Question) (planner.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return planner.Answer{}, cowslipbend.Fail(cowslipbend.KindBusy, "owner is loading the flows", "ask again")
	}
	return c.planner.Explain(q, c.clock.Now())
}
