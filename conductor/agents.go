package conductor

import (
	"encoding/json"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// agentKey returns the key of the agent's row. Each agent has its own, as the store bounds the size
// of a row and not their number.
func agentKey(url string) string { return agentPrefix + url }

// takeAgents returns the rows of agents that have changed, and the agents that were forgotten,
// whose rows it has the commit delete. The caller holds the lock.
func (c *Conductor) takeAgents() (puts []cowslipbend.Put, forgotten []string, err error) {
	changed, forgotten := c.planner.TakeAgents()
	for _, row := range changed {
		value, err := json.Marshal(row)
		if err != nil {
			return nil, nil, cowslipbend.AsError(err)
		}
		puts = append(puts, cowslipbend.Put{Key: agentKey(row.URL), Value: value})
	}
	for _, url := range forgotten {
		c.rowsToDelete = append(c.rowsToDelete, agentKey(url))
	}
	return puts, forgotten, nil
}

// restoreAgents has the planner expect the agents of the last owner. Without their rows, the runs
// which that owner placed count as running until their leases have lapsed. The caller holds the
// lock.
func (c *Conductor) restoreAgents(rows []cowslipbend.Row, now cowslipbend.Time) {
	var agents []planner.AgentRow
	for _, row := range rows {
		switch {
		case row.Key == agentsKey:
			c.replaceAgentsRow(row, now)
		case strings.HasPrefix(row.Key, agentPrefix):
			var agent planner.AgentRow
			if err := json.Unmarshal(row.Value, &agent); err != nil || agentKey(agent.URL) != row.Key {
				c.log.Warn("conductor ignored the row of an agent, which is not valid", "row", row.Key, "error", err)
				continue
			}
			agents = append(agents, agent)
		}
	}
	c.planner.ExpectAgents(agents, now)
}

// replaceAgentsRow has the next commits replace the row in which an owner of an earlier build lists
// all agents. That owner was the last one, so that its row goes before those of single agents.
func (c *Conductor) replaceAgentsRow(row cowslipbend.Row, now cowslipbend.Time) {
	c.rowsToDelete = append(c.rowsToDelete, agentsKey)
	var agents []planner.AgentRow
	if err := json.Unmarshal(row.Value, &agents); err != nil {
		c.log.Warn("conductor ignored the list of agents, which does not decode", "row", agentsKey, "error", err)
		return
	}
	c.planner.ExpectAgents(agents, now)
	c.planner.MarkAgents()
}
