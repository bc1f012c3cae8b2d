package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipbend.dev"
)

// Batch is a prepared commit. Its random id is fixed, so that a commit that is
// retried after a lost answer recognises its own earlier effect.
type Batch struct {
	nextHead Head
	txn      cowslipbend.Txn
}

// maxTrimRows is the greatest count of old rows that one commit deletes.
const maxTrimRows = 64

// Change alters a head before it is committed.
type Change func(*Head)

// Prepare returns the batch that appends the records, if there are any, and
// changes the head. The batch also makes the head name a snapshot that has been
// written since, and deletes old rows, so that neither costs a write of its own.
func (j *Journal) Prepare(records []cowslipbend.Record, changes ...Change) (*Batch, error) {
	next := j.Head()
	for _, change := range changes {
		change(&next)
	}
	if snapshot := j.unreferencedSnapshot(); snapshot != nil {
		next.Snapshot, next.Base = snapshot.name, snapshot.seq
	}
	if len(records) == 0 {
		return j.newBatch(next, nil)
	}
	next.Seq++
	value, err := json.Marshal(records)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "journal records cannot be encoded as JSON")
	}
	return j.newBatch(next, &cowslipbend.Put{Key: rowKey(j.pool, next.Seq), Value: value})
}

// unreferencedSnapshot returns the written snapshot that the head does not name
// yet, or nil if there is none.
func (j *Journal) unreferencedSnapshot() *snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lastSnapshot == nil || j.lastSnapshot.referenced {
		return nil
	}
	return j.lastSnapshot
}

// newBatch returns the batch that writes the head and, unless it is nil, the
// row.
func (j *Journal) newBatch(next Head, row *cowslipbend.Put) (*Batch, error) {
	next.Batch = cowslipbend.DrawID()
	b := &Batch{txn: cowslipbend.Txn{Conds: []cowslipbend.Cond{{Key: headKey(j.pool), Version: j.version}}}}
	for next.Trimmed < next.Base && len(b.txn.Dels) < maxTrimRows {
		next.Trimmed++
		b.txn.Dels = append(b.txn.Dels, rowKey(j.pool, next.Trimmed))
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "pool's head row cannot be encoded as JSON")
	}
	b.nextHead = next
	b.txn.Puts = []cowslipbend.Put{{Key: headKey(j.pool), Value: value}}
	if row != nil {
		b.txn.Puts = append(b.txn.Puts, *row)
	}
	return b, nil
}

// Commit writes a batch. KindConflict means that another owner has taken over
// the pool. After KindDown and KindUnknown the same batch must be committed
// again; until that succeeds no other batch may be prepared.
func (j *Journal) Commit(ctx context.Context, b *Batch) error {
	j.mu.Lock()
	j.unconfirmed = b
	j.mu.Unlock()
	version, cause := j.store.Table.Commit(ctx, b.txn)
	switch cowslipbend.KindOf(cause) {
	case "":
		j.finishCommit(b, version)
		return nil
	case cowslipbend.KindUnknown, cowslipbend.KindConflict:
		return j.verifyCommit(ctx, b, cause)
	}
	return cause
}

// verifyCommit reads the head to learn whether a batch took effect.
func (j *Journal) verifyCommit(ctx context.Context, b *Batch, cause error) error {
	head, version, err := j.store.ReadHead(ctx, j.pool)
	switch {
	case err != nil:
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "commit the same batch again", "commit may have taken effect, and the pool's head row cannot be read")
	case head.Batch == b.nextHead.Batch:
		j.finishCommit(b, version)
		return nil
	case version != j.version:
		return cowslipbend.Fail(cowslipbend.KindConflict, fmt.Sprintf("pool has been taken over in epoch %d", head.Epoch), "stop acting as the pool's owner")
	}
	return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "commit the same batch again", "commit has not taken effect, but still may")
}

// finishCommit updates the journal after a batch has been committed.
func (j *Journal) finishCommit(b *Batch, version int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b.nextHead.Seq != j.head.Seq {
		j.rowsSinceSnapshot++
	}
	if j.lastSnapshot != nil && b.nextHead.Snapshot == j.lastSnapshot.name {
		j.lastSnapshot.referenced = true
	}
	j.head, j.version, j.unconfirmed = b.nextHead, version, nil
}

// PossibleWitnesses returns the lists of witnesses that may be in force: the
// last one committed and, while the outcome of a commit is not known, also the
// one of its batch.
func (j *Journal) PossibleWitnesses() [][]EntryRef {
	j.mu.Lock()
	defer j.mu.Unlock()
	lists := [][]EntryRef{j.head.Witnesses}
	if j.unconfirmed != nil {
		lists = append(lists, j.unconfirmed.nextHead.Witnesses)
	}
	return lists
}
