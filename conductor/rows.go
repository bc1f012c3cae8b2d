package conductor

import (
	"context"
	"strings"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// commitRows writes and deletes rows under the fence. If the store refuses that as invalid, it writes
// the rows that the store takes and returns the others, so that they concern nobody else. It returns
// KindInvalid if the store refuses the owner's head as well.
func (c *Conductor) commitRows(ctx context.Context, puts []cowslipbend.Put, dels []string) (refused []cowslipbend.Put, err error) {
	err = c.commitOnce(ctx, puts, dels)
	if cowslipbend.KindOf(err) != cowslipbend.KindInvalid || len(puts) == 0 {
		return nil, err
	}
	if err := c.commitOnce(ctx, nil, dels); err != nil {
		return nil, err
	}
	if len(puts) == 1 {
		c.log.Error("store refused a row", "row", puts[0].Key, "size", len(puts[0].Value), "error", err)
		return puts, nil
	}
	half := len(puts) / 2
	for _, part := range [][]cowslipbend.Put{puts[:half], puts[half:]} {
		more, err := c.commitRows(ctx, part, nil)
		if err != nil {
			return nil, err
		}
		refused = append(refused, more...)
	}
	return refused, nil
}

// countFitting returns how many of the rows fit into one transaction, at least one if there is any.
func countFitting(puts []cowslipbend.Put) int {
	size := cowslipbend.Bytes(0)
	for i := range puts[:min(len(puts), maxPuts)] {
		if size += cowslipbend.Bytes(len(puts[i].Value)); size > maxPutBytes && i > 0 {
			return i
		}
	}
	return min(len(puts), maxPuts)
}

// commitOnce commits one transaction.
func (c *Conductor) commitOnce(ctx context.Context, puts []cowslipbend.Put, dels []string) error {
	start := c.clock.Now()
	began, err := c.fence.Commit(ctx, puts, dels)
	if err != nil {
		return err
	}
	c.settings.Metrics.RecordCommit(c.clock.Now().Sub(start))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = began
	return nil
}

// replaceRefused ends the flows whose progress the store has refused, and returns their rows. Of any
// other refused row the store keeps the last version: agents and estimates are learned again.
func (c *Conductor) replaceRefused(refused []cowslipbend.Put, d *decision) (puts []cowslipbend.Put, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range refused {
		c.settings.Metrics.RecordRow("refused")
		id := cowslipbend.JobID(strings.TrimPrefix(row.Key, TableRun+"/"))
		state, ok := c.planner.State(id)
		if !ok || state.Ended() {
			continue
		}
		c.log.Error("flow failed: the store refuses its progress", "flow", id, "row", row.Key, "size", len(row.Value))
		c.use("row", func() {
			var value []byte
			c.planner.GiveUp(id)
			if value, err = c.planner.TakeProgress(id); err == nil {
				d.states[id], _ = c.planner.State(id)
				puts = append(puts, cowslipbend.Put{Key: row.Key, Value: value})
			}
		})
		if c.unsound {
			return nil, errUnsound
		}
		if err != nil {
			return nil, err
		}
	}
	return puts, nil
}

// recordRow logs and counts that the row of a flow holds more or less of its progress.
func (c *Conductor) recordRow(e *planner.RowEvent) {
	c.settings.Metrics.RecordRow(string(e.Detail))
	fields := []any{"flow", e.Flow, "row", RunKey(e.Flow), "detail", e.Detail, "size", e.Size, "limit", e.MaxSize}
	switch e.Detail {
	case planner.RowFailed:
		c.log.Error("flow failed: its progress does not fit into a row of the store", fields...)
	case planner.RowComplete:
		c.log.Info("progress of a flow fits into a row of the store again", fields...)
	case planner.RowWithoutListed, planner.RowWithoutCheckpoints:
		c.log.Warn("progress of a flow does not fit into a row of the store; part of it is left out", fields...)
	}
}
