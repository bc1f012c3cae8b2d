package cowslipbend

import "context"

// Row is one row of the platform's table. A row that does not exist has
// version 0; each change gives it a higher one.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Cond demands that a row has exactly this version.
type Cond struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put sets the value of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn changes rows if all conditions hold, all or nothing.
type Txn struct {
	Conds []Cond   `json:"conds,omitempty"`
	Puts  []Put    `json:"puts,omitempty"`
	Dels  []string `json:"dels,omitempty"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get reads a row; a missing one has version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows with the prefix and a key above after, in
	// the order of keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the version that all rows it
	// put have now. A failed condition gives KindConflict, no effect for
	// certain gives KindDown, a lost answer KindUnknown.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the platform's object store. Objects are written once.
type Objects interface {
	// Put writes an object whole.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object; KindMissing if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; a missing one is no error.
	Delete(ctx context.Context, name string) error
}

// Changes are rows of one table that were put or removed after a version.
type Changes struct {
	Rows []Row
	// Gone lists the keys of removed rows.
	Gone []string
	// Version is where to go on.
	Version int64
}

// Feed tells changes of a table as they happen.
type Feed interface {
	// Changes waits up to the span for changes of the keys with the prefix
	// "table/" after the version. KindStale means that the history is gone and
	// the table must be read again.
	Changes(ctx context.Context, table string, after int64, wait Span) (Changes, error)
	// Snapshot reads all rows of a table and the version to follow it from.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Now returns the store's steady clock, as far as it is known here.
	Now() Time
}

// Read returns what has changed in a table after the version, or the whole
// table at version 0.
func Read(ctx context.Context, f Feed, table string, after int64, wait Span) (Changes, error) {
	if after == 0 {
		return f.Snapshot(ctx, table)
	}
	return f.Changes(ctx, table, after, wait)
}
