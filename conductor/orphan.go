package conductor

import (
	"strings"

	"cowslipbend.dev"
)

// findOrphans has the next commits delete the progress of flows that are no longer
// stored: an owner that ended between the two steps of a removal has left it. A flow
// that is submitted under the id of such a row would count as ended and never run. The
// progress must have been read before the flows.
func (c *Conductor) findOrphans(progress, flows []cowslipbend.Row) {
	stored := make(map[string]bool, len(flows))
	for _, row := range flows {
		stored[row.Key] = true
	}
	orphans := 0
	for _, row := range progress {
		id, ok := strings.CutPrefix(row.Key, TableRun+"/")
		if ok && !strings.HasPrefix(id, "~") && !stored[WorkKey(cowslipbend.JobID(id))] {
			c.rowsToDelete = append(c.rowsToDelete, row.Key)
			orphans++
		}
	}
	if orphans > 0 {
		c.log.Info("conductor deletes the progress of flows that are no longer stored", "count", orphans)
	}
}
