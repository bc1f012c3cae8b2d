package conductor

import (
	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// estimatesInterval is the least time between two writes of the same estimates. A new
// owner lacks at most what was learned in that time.
const estimatesInterval = 5 * cowslipbend.Second

// estimatesRow is a row with estimates that owners learn and pass on.
type estimatesRow struct {
	key string
	// name is that of the estimates in the log, and unit what they are counted by.
	name, unit string
	// restore adds the estimates of a row to those of a planner and returns their
	// number; take returns the row, or nil if nothing has changed since its last call.
	restore func(*planner.Planner, []byte) (int, error)
	take    func(*planner.Planner) ([]byte, error)
}

// estimatesRows lists the rows with estimates.
var estimatesRows = []estimatesRow{
	{TableRun + "/~lengths", "learned lengths", "classes", (*planner.Planner).RestoreLengths, (*planner.Planner).TakeLengths},
	{TableRun + "/~interference", "interference estimates", "pairs", (*planner.Planner).RestoreInterference, (*planner.Planner).TakeInterference},
}

// restoreEstimates restores what earlier owners have learned. The caller holds the
// lock.
func (c *Conductor) restoreEstimates(rows map[string][]byte) {
	for _, row := range estimatesRows {
		value := rows[row.key]
		if value == nil {
			continue
		}
		n, err := row.restore(c.planner, value)
		if err != nil {
			c.log.Warn("conductor ignored the "+row.name+", which are invalid", "row", row.key, "error", err)
			continue
		}
		c.log.Info("conductor restored the "+row.name, row.unit, n)
	}
}

// appendEstimates adds estimates to the rows of a commit if they have changed and the
// commit has other rows, so that they cost no commit of their own. The caller holds
// the lock.
func (c *Conductor) appendEstimates(puts []cowslipbend.Put, now cowslipbend.Time) []cowslipbend.Put {
	for _, row := range estimatesRows {
		if len(puts) == 0 || len(puts)%maxPuts == 0 || now.Sub(c.estimatesWrittenAt[row.key]) < estimatesInterval {
			continue
		}
		value, err := row.take(c.planner)
		if err != nil {
			c.log.Warn(row.name+" do not encode", "error", err)
		}
		if value == nil {
			continue
		}
		c.estimatesWrittenAt[row.key] = now
		puts = append(puts, cowslipbend.Put{Key: row.key, Value: value})
	}
	return puts
}
