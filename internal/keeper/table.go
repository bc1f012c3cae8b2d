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

// Table is a cowslipbend.Table in memory. The zero value is empty and ready.
type Table struct {
	mu     sync.Mutex
	rows   map[string]cowslipbend.Row
	last   int64
	reads  int64
	writes int64
	// changes lists what was put and removed, in order; Forget drops it.
	changes []change
	kept    int64
}

// change is a row that was put, or removed if it has no version.
type change struct {
	version int64
	row     cowslipbend.Row
}

// feedLook is how long a feed without changes waits at most.
const feedLook = 5 * time.Millisecond

// Get reads a row.
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

// Scan reads rows in the order of their keys.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]cowslipbend.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
	return rows, nil
}

// Commit applies the transaction or returns KindConflict.
func (t *Table) Commit(_ context.Context, txn cowslipbend.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, c := range txn.Conds {
		if have := t.rows[c.Key].Version; have != c.Version {
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

// Changes returns what has changed in a table, after a short wait if nothing
// has.
func (t *Table) Changes(ctx context.Context, table string, after int64, _ cowslipbend.Span) (cowslipbend.Changes, error) {
	c, err := t.since(table, after)
	if err != nil || len(c.Rows)+len(c.Gone) > 0 {
		return c, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(feedLook):
	}
	return t.since(table, after)
}

func (t *Table) since(table string, after int64) (cowslipbend.Changes, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.kept {
		return cowslipbend.Changes{}, cowslipbend.Fail(cowslipbend.KindStale, "history is gone", "read the table again")
	}
	c := cowslipbend.Changes{Version: t.last}
	for _, ch := range t.changes {
		switch {
		case ch.version <= after || !strings.HasPrefix(ch.row.Key, table+"/"):
		case ch.row.Version == 0:
			c.Gone = append(c.Gone, ch.row.Key)
		default:
			c.Rows = append(c.Rows, ch.row)
		}
	}
	return c, nil
}

// Snapshot reads a whole table.
func (t *Table) Snapshot(ctx context.Context, table string) (cowslipbend.Changes, error) {
	rows, err := t.Scan(ctx, table+"/", "", math.MaxInt)
	t.mu.Lock()
	defer t.mu.Unlock()
	return cowslipbend.Changes{Rows: rows, Version: t.last}, err
}

// Now returns the time of the steady clock.
func (*Table) Now() cowslipbend.Time { return timer.Host{}.Now() }

// Heard returns the time, as the table always answers.
func (*Table) Heard() cowslipbend.Time { return timer.Host{}.Now() }

// Forget drops the history.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.kept = nil, t.last
}

// Counts returns the reads and writes so far.
func (t *Table) Counts() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
