package conductor

import (
	"context"
	"slices"

	"cowslipbend.dev"
)

// expiredFlows returns the flows whose rows are to be deleted. The caller holds the lock.
func (c *Conductor) expiredFlows() []cowslipbend.JobID {
	return slices.DeleteFunc(c.planner.ExpiredFlows(c.feed.Now()), func(id cowslipbend.JobID) bool {
		_, done := c.removed[id]
		return done
	})
}

// removeFlows deletes the accepted flows whose retention has expired. A later
// commit deletes their progress, since a stored flow without progress would be
// run again. If the store does not answer, they are removed another time.
func (c *Conductor) removeFlows(ctx context.Context, ids []cowslipbend.JobID) {
	for chunk := range slices.Chunk(ids, maxPuts/2) {
		var keys, runs []string
		for _, id := range chunk {
			keys = append(keys, WorkKey(id), CancelKey(id))
			runs = append(runs, RunKey(id))
		}
		version, err := c.table.Commit(ctx, cowslipbend.Txn{Dels: keys})
		if err != nil {
			c.log.Warn("conductor failed to remove ended flows", "count", len(chunk), "error", err)
			continue
		}
		c.mu.Lock()
		for _, id := range chunk {
			c.removed[id] = version
		}
		c.rowsToDelete = append(c.rowsToDelete, runs...)
		c.mu.Unlock()
	}
}

// forgetRemoved forgets the removed flows once the feed has reached the version. Rows that it
// returned before may still name them: a flow that is not known runs.
func (c *Conductor) forgetRemoved(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, removedAt := range c.removed {
		if removedAt <= version {
			delete(c.removed, id)
			delete(c.committedStates, id)
			c.use("forget", func() { c.planner.Forget(id) })
		}
	}
}

// withoutPuts returns the keys of rows to delete that are not put: a flow may be submitted again.
func withoutPuts(dels []string, puts []cowslipbend.Put) []string {
	return slices.DeleteFunc(dels, func(key string) bool {
		return slices.ContainsFunc(puts, func(p cowslipbend.Put) bool { return p.Key == key })
	})
}
