package router

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Pace of trimming: one read and at most one write in each period.
const (
	trimRows   = 500
	trimPeriod = cowslipbend.Second
)

// Trim removes the claims that are older than Remember, in one pass over all
// of them. Claims of the future are left, as a wall clock may have been set
// back. A page with a row that has changed meanwhile waits for the next pass.
func (t *TableClaims) Trim(ctx context.Context) error {
	after := ""
	for {
		rows, err := t.table.Scan(ctx, claimPrefix, after, trimRows)
		if err != nil {
			return err
		}
		if txn := old(rows, t.clock.Wall()); len(txn.Dels) > 0 {
			_, err := t.table.Commit(ctx, txn)
			if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindConflict {
				return err
			}
		}
		if len(rows) < trimRows || !timer.Sleep(ctx, t.clock, trimPeriod) {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// old returns the transaction that removes what is too old or damaged.
func old(rows []cowslipbend.Row, now cowslipbend.Time) cowslipbend.Txn {
	var txn cowslipbend.Txn
	for _, row := range rows {
		c, err := decodeClaim(row.Value)
		if err == nil && now.Sub(c.Wall) <= Remember {
			continue
		}
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: row.Key, Version: row.Version})
		txn.Dels = append(txn.Dels, row.Key)
	}
	return txn
}
