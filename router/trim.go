package router

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Rate of Trim: one page is read and at most one transaction committed in each
// interval.
const (
	trimPageRows = 500
	trimInterval = cowslipbend.Second
)

// Trim removes the claims that are older than ClaimRetention, in one pass over
// all of them. It keeps claims with a time in the future, as a wall clock may
// have been set back. It skips a page if one of its rows has changed meanwhile;
// the next pass removes the claims of that page.
func (t *TableClaims) Trim(ctx context.Context) error {
	after := ""
	for {
		rows, err := t.table.Scan(ctx, claimPrefix, after, trimPageRows)
		if err != nil {
			return err
		}
		if txn := trimTxn(rows, t.clock.Wall()); len(txn.Dels) > 0 {
			_, err := t.table.Commit(ctx, txn)
			if err != nil && cowslipbend.KindOf(err) != cowslipbend.KindConflict {
				return err
			}
		}
		if len(rows) < trimPageRows || !timer.Sleep(ctx, t.clock, trimInterval) {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// trimTxn returns the transaction that removes the rows whose claim has expired
// or cannot be decoded.
func trimTxn(rows []cowslipbend.Row, now cowslipbend.Time) cowslipbend.Txn {
	var txn cowslipbend.Txn
	for _, row := range rows {
		c, err := decodeClaim(row.Value)
		if err == nil && now.Sub(c.Wall) <= ClaimRetention {
			continue
		}
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: row.Key, Version: row.Version})
		txn.Dels = append(txn.Dels, row.Key)
	}
	return txn
}
