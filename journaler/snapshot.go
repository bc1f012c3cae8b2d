package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipbend.dev"
)

// snapshot is a state in the object store that a commit is to name.
type snapshot struct {
	name string
	seq  cowslipbend.Seq
	// old is the snapshot that it replaces; done says that the head names the
	// new one.
	old  string
	done bool
}

// snapshotRows is the count of rows after which a new snapshot is due.
const snapshotRows = 1000

// Due reports whether so many rows were committed that a snapshot is worth
// its write.
func (j *Journal) Due() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.since >= snapshotRows && !j.writing && (j.ready == nil || j.ready.done)
}

// Snapshot encodes the state, which must be that of the last commit, and
// returns the function that writes it, beside commits. A later commit names
// the new snapshot in the head; the one before last is deleted then.
func (j *Journal) Snapshot(state *State) (write func(context.Context) error, err error) {
	data, err := json.Marshal(state)
	if err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "state does not encode")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &snapshot{
		name: fmt.Sprintf("snapshot-%s-%d-%d", j.pool, j.head.Epoch, j.head.Seq), seq: j.head.Seq, old: j.head.Snapshot,
	}
	last := j.ready
	j.since, j.writing = 0, true
	return func(ctx context.Context) error {
		err := j.store.Objects.Put(ctx, s.name, data)
		if err == nil && last != nil && last.old != "" {
			// An object that stays behind costs only its room.
			_ = j.store.Objects.Delete(ctx, last.old)
		}
		j.mu.Lock()
		defer j.mu.Unlock()
		j.writing = false
		if err == nil {
			j.ready = s
		}
		return err
	}, nil
}

// scanRows is the count of rows read at once.
const scanRows = 200

// Load reads the snapshot and replays the rows behind it.
func (j *Journal) Load(ctx context.Context) (*State, error) {
	head := j.Head()
	state := NewState()
	if head.Snapshot != "" {
		data, err := j.store.Objects.Get(ctx, head.Snapshot)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(data, state); err != nil {
			return nil, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the object "+head.Snapshot, "snapshot is damaged")
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
				return nil, missing(rowKey(j.pool, next))
			}
			if err := replay(state, row); err != nil {
				return nil, err
			}
		}
		if len(rows) == 0 {
			return nil, missing(rowKey(j.pool, next+1))
		}
	}
	j.since = int(head.Seq - head.Base)
	return state, nil
}

func missing(key string) error {
	return cowslipbend.Fail(cowslipbend.KindBroken, "journal row "+key+" is missing", "restore it; the pool's journal has a gap")
}

func replay(state *State, row cowslipbend.Row) error {
	var records []cowslipbend.Record
	if err := json.Unmarshal(row.Value, &records); err != nil {
		return cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+row.Key, "journal row is damaged")
	}
	for _, r := range records {
		if err := state.Apply(r); err != nil {
			return err
		}
	}
	return nil
}
