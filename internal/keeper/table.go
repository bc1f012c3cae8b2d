package keeper

import (
	"context"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/timer"
)

// Table is a cowslipbend.Table and a cowslipbend.Feed in memory. The zero value
// is empty and ready to use.
type Table struct {
	mu     sync.Mutex
	rows   map[string]cowslipbend.Row
	last   int64 // version of the last commit
	reads  int64 // calls of Get and Scan
	writes int64 // calls of Commit
	// changes lists the rows that were put or removed after the version
	// forgottenThrough, in order.
	changes          []change
	forgottenThrough int64
}

// change is a row that was put, or removed if the row has version 0.
type change struct {
	version int64
	row     cowslipbend.Row
}

// maxChangesWait limits the wait of Changes.
const maxChangesWait = 5 * time.Millisecond

// Get reads a row. A row that does not exist has version 0.
func (t *Table) Get(_ context.Context, key string) (cowslipbend.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return cowslipbend.Row{Key: key}, nil
	}
	return row, nil
}

// Scan reads up to limit rows with the prefix and a key above after, in key
// order.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scan(prefix, after, limit), nil
}

// scan implements Scan. The caller holds the lock.
func (t *Table) scan(prefix, after string, limit int) []cowslipbend.Row {
	t.reads++
	var rows []cowslipbend.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

// Commit applies the transaction, or returns KindConflict if a condition fails.
func (t *Table) Commit(_ context.Context, txn cowslipbend.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, c := range txn.Conds {
		if version := t.rows[c.Key].Version; version != c.Version {
			return 0, cowslipbend.Fail(cowslipbend.KindConflict, "row "+c.Key+" has changed", "read it again and decide anew")
		}
	}
	if t.rows == nil {
		t.rows = map[string]cowslipbend.Row{}
	}
	t.last++
	for _, p := range txn.Puts {
		value := append([]byte(nil), p.Value...)
		t.rows[p.Key] = cowslipbend.Row{Key: p.Key, Version: t.last, Value: value}
		t.changes = append(t.changes, change{t.last, t.rows[p.Key]})
	}
	for _, key := range txn.Dels {
		delete(t.rows, key)
		t.changes = append(t.changes, change{t.last, cowslipbend.Row{Key: key}})
	}
	return t.last, nil
}

// Changes returns the changes of a table after the version. If there are none, it
// waits for maxChangesWait, not for the span given.
func (t *Table) Changes(ctx context.Context, table string, after int64, _ cowslipbend.Span) (cowslipbend.Changes, error) {
	c, err := t.changesSince(table, after)
	if err != nil || len(c.Rows)+len(c.Gone) > 0 {
		return c, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(maxChangesWait):
	}
	return t.changesSince(table, after)
}

func (t *Table) changesSince(table string, after int64) (cowslipbend.Changes, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.forgottenThrough {
		return cowslipbend.Changes{}, cowslipbend.Fail(cowslipbend.KindStale, "the table no longer has the changes since the version", "read the table again")
	}
	c := cowslipbend.Changes{Version: t.last}
	last := map[string]int{}
	for i, ch := range t.changes {
		last[ch.row.Key] = i
	}
	for i, ch := range t.changes {
		switch {
		case ch.version <= after || last[ch.row.Key] != i || !strings.HasPrefix(ch.row.Key, table+"/"):
		case ch.row.Version == 0:
			c.Gone = append(c.Gone, ch.row.Key)
		default:
			c.Rows = append(c.Rows, ch.row)
		}
	}
	return c, nil
}

// Snapshot reads a whole table. Changes after its version are not in its rows.
func (t *Table) Snapshot(_ context.Context, table string) (cowslipbend.Changes, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return cowslipbend.Changes{Rows: t.scan(table+"/", "", math.MaxInt), Version: t.last}, nil
}

// Now returns the store's monotonic clock, which is that of the host.
func (*Table) Now() cowslipbend.Time { return timer.Host{}.Now() }

// LastContact returns the time of the last reply, which is now, as the table
// always replies.
func (*Table) LastContact() cowslipbend.Time { return timer.Host{}.Now() }

// RefusedFor returns zero, as the table serves all calls.
func (*Table) RefusedFor() cowslipbend.Span { return 0 }

// ForgetChanges drops the changes so far, so that Changes returns KindStale for
// earlier versions.
func (t *Table) ForgetChanges() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.forgottenThrough = nil, t.last
}

// Counts returns how many reads and writes were made so far, failed ones
// included.
func (t *Table) Counts() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
