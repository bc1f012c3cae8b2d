package cowslipbend

import "context"

// Row is one row of the platform's table. A row that does not exist has
// version 0; each change gives it a higher one.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Cond is the condition that a row has exactly this version.
type Cond struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put sets the value of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn applies all its changes if all conditions hold, else none.
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
	// key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the version that all rows it
	// put have now. Errors are KindConflict if a condition failed, KindDown if
	// the transaction certainly took no effect, and KindUnknown if the answer
	// was lost.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the platform's object store. Objects are written once.
type Objects interface {
	// Put writes an object.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object, or returns KindMissing.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. It returns no error if there is none.
	Delete(ctx context.Context, name string) error
}

// Changes are rows of one table that were put or removed after a version. A key is
// in Rows or in Gone, not in both.
type Changes struct {
	Rows []Row
	// Gone holds the keys of removed rows.
	Gone []string
	// Version is the version from which to continue.
	Version int64
}

// Feed streams the changes of tables.
type Feed interface {
	// Changes waits up to the span for changes of the keys with the prefix
	// "table/" after the version. KindStale means that the store no longer has
	// the changes since then, and the table must be read again.
	Changes(ctx context.Context, table string, after int64, wait Span) (Changes, error)
	// Snapshot reads all rows of a table, and the version from which to follow
	// it.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Now returns this process's estimate of the store's steady clock.
	Now() Time
}

// Read returns the changes of a table after the version, or the whole table if
// the version is 0.
func Read(ctx context.Context, f Feed, table string, after int64, wait Span) (Changes, error) {
	if after == 0 {
		return f.Snapshot(ctx, table)
	}
	return f.Changes(ctx, table, after, wait)
}
