package conductor

import (
	"context"
	"encoding/json"

	"cowslipbend.dev"
)

// Tables and keys of the store.
const (
	// TableRun holds the progress of flows and the fence of their owner.
	TableRun = "run"
	// TableWork holds the accepted flows and their cancellations.
	TableWork = "work"
	// TableEntry holds the entries and the current owner.
	TableEntry = "entry"

	headKey = TableRun + "/~head"
	// agentPrefix is followed by the URL of an agent.
	agentPrefix = TableRun + "/~agent/"
	// agentsKey is the key of the row in which earlier builds list all agents.
	agentsKey = TableRun + "/~agents"
	// OwnerKey is the key of the row that names the owner. The entries follow
	// its table.
	OwnerKey = TableEntry + "/~owner"
	// cancelSuffix follows the key of a flow in the key of its cancellation.
	cancelSuffix = "~cancel"
)

// WorkKey returns the key of an accepted flow.
func WorkKey(id cowslipbend.JobID) string { return TableWork + "/" + string(id) }

// CancelKey returns the key of a flow's cancellation.
func CancelKey(id cowslipbend.JobID) string { return WorkKey(id) + cancelSuffix }

// RunKey returns the key of a flow's progress.
func RunKey(id cowslipbend.JobID) string { return TableRun + "/" + string(id) }

// Head is the row that fences the owner of an epoch. Every commit depends on its
// version and changes it, so that the commit of an earlier owner, or one that
// arrives late, has no effect.
type Head struct {
	Epoch cowslipbend.Epoch       `json:"epoch"`
	URL   string                  `json:"url"`
	Life  cowslipbend.Incarnation `json:"life"`
	Seq   int64                   `json:"seq"`
}

// ReadHead returns the head and its version, which is 0 if there is none.
func ReadHead(ctx context.Context, table cowslipbend.Table) (Head, int64, error) {
	var h Head
	row, err := table.Get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+headKey, "owner's row does not decode")
	}
	return h, row.Version, nil
}

// Fence commits on behalf of the owner of an epoch, as long as no later epoch has
// begun.
type Fence struct {
	table   cowslipbend.Table
	clock   cowslipbend.Clock
	epoch   cowslipbend.Epoch
	head    Head
	version int64
}

// TakeOver makes this entry the owner of the next epoch. KindConflict means that
// another entry was first.
func TakeOver(ctx context.Context, table cowslipbend.Table, clock cowslipbend.Clock, url string, life cowslipbend.Incarnation) (*Fence, error) {
	head, version, err := ReadHead(ctx, table)
	if err != nil {
		return nil, err
	}
	return TakeOverFrom(ctx, table, clock, head, version, url, life)
}

// TakeOverFrom is TakeOver for a head that was read before, with its version.
// KindConflict means that it has changed since.
func TakeOverFrom(ctx context.Context, table cowslipbend.Table, clock cowslipbend.Clock, head Head, version int64, url string, life cowslipbend.Incarnation) (*Fence, error) {
	f := &Fence{table: table, clock: clock, epoch: head.Epoch + 1, head: head, version: version}
	next := Head{Epoch: f.epoch, URL: url, Life: life}
	owner, err := json.Marshal(next)
	if err != nil {
		return nil, cowslipbend.AsError(err)
	}
	return f, f.tryCommit(ctx, next, []cowslipbend.Put{{Key: OwnerKey, Value: owner}}, nil)
}

// Epoch returns the owner's epoch.
func (f *Fence) Epoch() cowslipbend.Epoch { return f.epoch }

// storeBackoff is the pause between attempts while the store does not answer.
const storeBackoff = 100 * cowslipbend.Millisecond

// Commit writes and deletes rows under the fence, retrying until it succeeds. It
// returns the time at which the successful attempt began. KindConflict means
// that another epoch has begun.
func (f *Fence) Commit(ctx context.Context, puts []cowslipbend.Put, dels []string) (cowslipbend.Time, error) {
	next := f.head
	next.Seq++
	for {
		began := f.clock.Now()
		err := f.tryCommit(ctx, next, puts, dels)
		switch cowslipbend.KindOf(err) {
		case "":
			return began, nil
		case cowslipbend.KindDown, cowslipbend.KindUnknown:
		default:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, cowslipbend.Fail(cowslipbend.KindLeaving, "owner stopped before its commit was confirmed", "the next owner continues")
		case <-f.clock.After(storeBackoff):
		}
	}
}

// tryCommit commits one transaction. After a conflict or an unknown outcome it
// reads the head, since an attempt whose answer was lost may have taken effect.
func (f *Fence) tryCommit(ctx context.Context, next Head, puts []cowslipbend.Put, dels []string) error {
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
		return cowslipbend.Fail(cowslipbend.KindConflict, "another entry has taken over the flows", "stop this conductor")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, err, "commit it again", "commit has not taken effect yet")
}
