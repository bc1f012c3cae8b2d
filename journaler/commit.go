package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipbend.dev"
)

// Batch is one commit, prepared. Its random id is fixed, so that a commit that
// is repeated after a lost answer finds its own earlier effect.
type Batch struct {
	next Head
	txn  cowslipbend.Txn
}

// trimRows is the count of old rows that one commit deletes at most.
const trimRows = 64

// Change alters a head before it is committed.
type Change func(*Head)

// Prepare makes the batch that appends the records, if there are any, and
// changes the head. It also names a finished snapshot and trims old rows, so
// that neither costs a write of its own.
func (j *Journal) Prepare(records []cowslipbend.Record, changes ...Change) (*Batch, error) {
	next := j.Head()
	for _, change := range changes {
		change(&next)
	}
	if ready := j.snapshotReady(); ready != nil {
		next.Snapshot, next.Base = ready.name, ready.seq
	}
	if len(records) == 0 {
		return j.batch(next, nil)
	}
	next.Seq++
	value, err := json.Marshal(records)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "records do not encode")
	}
	return j.batch(next, &cowslipbend.Put{Key: rowKey(j.pool, next.Seq), Value: value})
}

// snapshotReady returns a written snapshot that the head does not name yet.
func (j *Journal) snapshotReady() *snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ready == nil || j.ready.done {
		return nil
	}
	return j.ready
}

// batch makes a batch of a head and perhaps a row.
func (j *Journal) batch(next Head, row *cowslipbend.Put) (*Batch, error) {
	next.Batch = cowslipbend.DrawID()
	b := &Batch{txn: cowslipbend.Txn{Conds: []cowslipbend.Cond{{Key: headKey(j.pool), Version: j.version}}}}
	for next.Trimmed < next.Base && len(b.txn.Dels) < trimRows {
		next.Trimmed++
		b.txn.Dels = append(b.txn.Dels, rowKey(j.pool, next.Trimmed))
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "head does not encode")
	}
	b.next = next
	b.txn.Puts = []cowslipbend.Put{{Key: headKey(j.pool), Value: value}}
	if row != nil {
		b.txn.Puts = append(b.txn.Puts, *row)
	}
	return b, nil
}

// Commit writes a batch. KindConflict means that another owner has taken the
// pool. After KindDown and KindUnknown the same batch must be committed again;
// until that succeeds no other batch may be prepared.
func (j *Journal) Commit(ctx context.Context, b *Batch) error {
	j.mu.Lock()
	j.open = b
	j.mu.Unlock()
	version, cause := j.store.Table.Commit(ctx, b.txn)
	switch cowslipbend.KindOf(cause) {
	case "":
		j.accept(b, version)
		return nil
	case cowslipbend.KindUnknown, cowslipbend.KindConflict:
		return j.settle(ctx, b, cause)
	}
	return cause
}

// settle reads the head to learn whether a batch took effect.
func (j *Journal) settle(ctx context.Context, b *Batch, cause error) error {
	head, version, err := j.store.ReadHead(ctx, j.pool)
	switch {
	case err != nil:
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "commit the same batch again", "commit may have taken effect")
	case head.Batch == b.next.Batch:
		j.accept(b, version)
		return nil
	case version != j.version:
		return cowslipbend.Fail(cowslipbend.KindConflict, fmt.Sprintf("epoch %d has taken the pool", head.Epoch), "step down")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "commit the same batch again", "commit has not taken effect yet")
}

// accept notes that a batch is committed.
func (j *Journal) accept(b *Batch, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b.next.Seq != j.head.Seq {
		j.since++
	}
	if j.ready != nil && b.next.Snapshot == j.ready.name {
		j.ready.done = true
	}
	j.head, j.version, j.open = b.next, version, nil
}

// Watchers returns the lists of witnesses that may be in force: the one last
// committed and, while a change of it is not settled, also the new one.
func (j *Journal) Watchers() [][]Witness {
	j.mu.Lock()
	defer j.mu.Unlock()
	lists := [][]Witness{j.head.Witnesses}
	if j.open != nil {
		lists = append(lists, j.open.next.Witnesses)
	}
	return lists
}
