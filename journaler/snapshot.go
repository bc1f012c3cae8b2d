package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipbend.dev"
)

// snapshot is an encoded state in the object store.
type snapshot struct {
	name string
	seq  cowslipbend.Seq // of the last row that it includes
	// previous is the name of the snapshot that it replaces.
	previous string
	// referenced is set once the head names this snapshot.
	referenced bool
}

// snapshotRows is the count of committed rows after which a new snapshot is due.
const snapshotRows = 1000

// SnapshotDue reports whether a new snapshot should be written: at least
// snapshotRows rows were committed since the last one, which the head names
// already.
func (j *Journal) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rowsSinceSnapshot >= snapshotRows && !j.writingSnapshot && (j.lastSnapshot == nil || j.lastSnapshot.referenced)
}

// Snapshot encodes the state, which must be that of the last commit, and
// returns the function that writes it. The function may run concurrently with
// commits. A later commit makes the head name the new snapshot. The function
// also deletes the snapshot that the previous one replaced, as no head names it
// any more.
func (j *Journal) Snapshot(state *State) (write func(context.Context) error, err error) {
	data, err := json.Marshal(state)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "pool's state cannot be encoded as JSON")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &snapshot{
		name: fmt.Sprintf("snapshot-%s-%d-%d", j.pool, j.head.Epoch, j.head.Seq), seq: j.head.Seq, previous: j.head.Snapshot,
	}
	lastSnapshot := j.lastSnapshot
	j.rowsSinceSnapshot, j.writingSnapshot = 0, true
	return func(ctx context.Context) error {
		err := j.store.Objects.Put(ctx, s.name, data)
		if err == nil && lastSnapshot != nil && lastSnapshot.previous != "" {
			// An object that is not deleted only takes up space.
			_ = j.store.Objects.Delete(ctx, lastSnapshot.previous)
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		j.writingSnapshot = false
		if err == nil {
			j.lastSnapshot = s
		}
		return err
	}, nil
}

// scanRows is the count of rows that one scan reads.
const scanRows = 200

// Load reads the snapshot that the head names and replays the rows after it.
func (j *Journal) Load(ctx context.Context) (*State, error) {
	head := j.Head()
	state := NewState()
	if head.Snapshot != "" {
		data, err := j.store.Objects.Get(ctx, head.Snapshot)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(data, state); err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the object "+head.Snapshot, "snapshot cannot be decoded")
		}
	}
	next := head.Base
	for next < head.Seq {
		rows, err := j.store.Table.Scan(ctx, rowPrefix(j.pool), rowKey(j.pool, next), scanRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			next++
			if row.Key != rowKey(j.pool, next) {
				return nil, missingRow(rowKey(j.pool, next))
			}
			if err := replay(state, row); err != nil {
				return nil, err
			}
		}
		if len(rows) == 0 {
			return nil, missingRow(rowKey(j.pool, next+1))
		}
	}
	j.rowsSinceSnapshot = int(head.Seq - head.Base)
	return state, nil
}

func missingRow(key string) error {
	return cowslipbend.Fail(cowslipbend.KindBroken, "journal row "+key+" is missing", "restore it; the pool's journal cannot be replayed without it")
}

func replay(state *State, row cowslipbend.Row) error {
	var records []cowslipbend.Record
	if err := json.Unmarshal(row.Value, &records); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+row.Key, "journal row cannot be decoded")
	}
	for _, r := range records {
		if err := state.Apply(r); err != nil {
			return err
		}
	}
	return nil
}
