// Package journaler keeps a pool's state in the platform's storage service: a
// fenced head row, one row for each committed batch of records, and snapshots
// in the object store. Journal reads and appends rows; State is the result of
// replaying them.
//
// Package scheduler decides what is appended. Package leaser bounds leases by
// the times at which the store confirmed the epoch in the head row.
package journaler
