package conductor

import (
	"context"
	"encoding/json"

	"cowslipbend.dev"
)

// Keys of the rows in the store.
const (
	// TableRun holds the progress of flows and the fence of their owner.
	TableRun = "run"
	// TableWork holds the accepted flows and the marks of cancelled ones.
	TableWork = "work"
	// TableEntry holds the entries and who owns the flows.
	TableEntry = "entry"

	headKey   = TableRun + "/~head"
	agentsKey = TableRun + "/~agents"
	// OwnerKey names the row that tells the entries of a new owner.
	OwnerKey = TableEntry + "/~owner"
	// cancelSuffix marks the row by which a flow is cancelled.
	cancelSuffix = "~cancel"
)

// WorkKey returns the key of an accepted flow.
func WorkKey(id cowslipbend.JobID) string { return TableWork + "/" + string(id) }

// CancelKey returns the key of the mark that a flow is cancelled.
func CancelKey(id cowslipbend.JobID) string { return WorkKey(id) + cancelSuffix }

// RunKey returns the key of a flow's progress.
func RunKey(id cowslipbend.JobID) string { return TableRun + "/" + string(id) }

// Head fences the owner of an epoch. Every commit changes it, so that a
// commit of an earlier owner, or one that arrives late, has no effect.
type Head struct {
	Epoch cowslipbend.Epoch       `json:"epoch"`
	URL   string                  `json:"url"`
	Life  cowslipbend.Incarnation `json:"life"`
	Seq   int64                   `json:"seq"`
}

// ReadHead returns the head and its version, 0 if there is none.
func ReadHead(ctx context.Context, table cowslipbend.Table) (Head, int64, error) {
	var h Head
	row, err := table.Get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+headKey, "owner's row is damaged")
	}
	return h, row.Version, nil
}

// Fence is an owner's hold on its epoch.
type Fence struct {
	table   cowslipbend.Table
	clock   cowslipbend.Clock
	epoch   cowslipbend.Epoch
	head    Head
	version int64
}

// Take makes the process the owner of the next epoch. KindConflict means that
// another came first.
func Take(ctx context.Context, table cowslipbend.Table, clock cowslipbend.Clock, url string, life cowslipbend.Incarnation) (*Fence, error) {
	head, version, err := ReadHead(ctx, table)
	if err != nil {
		return nil, err
	}
	f := &Fence{table: table, clock: clock, epoch: head.Epoch + 1, head: head, version: version}
	next := Head{Epoch: f.epoch, URL: url, Life: life}
	owner, err := json.Marshal(next)
	if err != nil {
		return nil, cowslipbend.AsError(err)
	}
	return f, f.write(ctx, next, []cowslipbend.Put{{Key: OwnerKey, Value: owner}}, nil)
}

// Epoch returns the owner's epoch.
func (f *Fence) Epoch() cowslipbend.Epoch { return f.epoch }

// storePause is the time between two tries while the store does not answer.
const storePause = 100 * cowslipbend.Millisecond

// Commit writes rows under the fence. It returns when they are written, with
// the moment at which the write that succeeded began; KindConflict means that
// the epoch is over.
func (f *Fence) Commit(ctx context.Context, puts []cowslipbend.Put, dels []string) (cowslipbend.Time, error) {
	next := f.head
	next.Seq++
	for {
		began := f.clock.Now()
		err := f.write(ctx, next, puts, dels)
		switch cowslipbend.KindOf(err) {
		case "":
			return began, nil
		case cowslipbend.KindDown, cowslipbend.KindUnknown:
		default:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, cowslipbend.Fail(cowslipbend.KindLeaving, "owner stopped before its commit", "the next owner goes on")
		case <-f.clock.After(storePause):
		}
	}
}

// write tries one transaction. After an answer that was lost it compares the
// head, since the same transaction may already have been carried out.
func (f *Fence) write(ctx context.Context, next Head, puts []cowslipbend.Put, dels []string) error {
	value, err := json.Marshal(next)
	if err != nil {
		return cowslipbend.AsError(err)
	}
	txn := cowslipbend.Txn{
		Conds: []cowslipbend.Cond{{Key: headKey, Version: f.version}},
		Puts:  append([]cowslipbend.Put{{Key: headKey, Value: value}}, puts...), Dels: dels,
	}
	version, err := f.table.Commit(ctx, txn)
	switch cowslipbend.KindOf(err) {
	case "":
		f.head, f.version = next, version
		return nil
	case cowslipbend.KindConflict, cowslipbend.KindUnknown:
	default:
		return err
	}
	head, version, readErr := ReadHead(ctx, f.table)
	switch {
	case readErr != nil:
		return cowslipbend.Failf(cowslipbend.KindUnknown, readErr, "commit it again", "commit may have taken effect")
	case head == next:
		f.head, f.version = next, version
		return nil
	case version != f.version:
		return cowslipbend.Fail(cowslipbend.KindConflict, "another entry has taken the flows", "step down")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, err, "commit it again", "commit has not taken effect yet")
}
