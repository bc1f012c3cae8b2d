package journaler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"cowslipbend.dev"
)

// Head is the content of a pool's head row.
type Head struct {
	Epoch cowslipbend.Epoch       `json:"epoch"`
	Owner cowslipbend.EntryID     `json:"owner"`
	URL   string                  `json:"url"`
	Life  cowslipbend.Incarnation `json:"life"`
	// Witnesses are the lives that must hold for an extension of leases.
	Witnesses []Witness       `json:"witnesses,omitempty"`
	Seq       cowslipbend.Seq `json:"seq"`
	// Batch is the random id of the last commit.
	Batch string `json:"batch"`
	// Snapshot names the object that holds the state at seq Base.
	Snapshot string          `json:"snapshot,omitempty"`
	Base     cowslipbend.Seq `json:"base,omitempty"`
	// Trimmed is the last row that was deleted; it is at most Base.
	Trimmed cowslipbend.Seq `json:"trimmed,omitempty"`
	// Left is set when the owner gave the pool up at its planned stop.
	Left bool `json:"left,omitempty"`
}

// Witness is one life of an entry.
type Witness struct {
	ID   cowslipbend.EntryID     `json:"id"`
	URL  string                  `json:"url"`
	Life cowslipbend.Incarnation `json:"life"`
}

// Journal is one owner's hold on a pool's journal. Prepare, Commit and
// Snapshot must not be called concurrently; Watchers and Head may be called at
// any time.
//
// Every commit is conditional on the version of the head row, so that an
// owner whose epoch is over can write nothing.
type Journal struct {
	store Store
	pool  cowslipbend.PoolID

	mu      sync.Mutex
	head    Head
	version int64
	// open is the batch whose commit may have taken effect.
	open *Batch
	// ready is a snapshot that the next commit names.
	ready *snapshot
	// since counts the rows since the last snapshot was begun.
	since int
	// writing is set while a snapshot is being written.
	writing bool
}

// Store is where journals last.
type Store struct {
	Table   cowslipbend.Table
	Objects cowslipbend.Objects
}

// HeadPrefix stands before the keys of head rows.
const HeadPrefix = "pool/"

func headKey(pool cowslipbend.PoolID) string { return HeadPrefix + string(pool) }

func rowPrefix(pool cowslipbend.PoolID) string { return "log/" + string(pool) + "/" }

func rowKey(pool cowslipbend.PoolID, seq cowslipbend.Seq) string {
	return fmt.Sprintf("%s%016d", rowPrefix(pool), seq)
}

// ReadHead returns a pool's head and the version of its row, 0 if there is
// none yet.
func (s Store) ReadHead(ctx context.Context, pool cowslipbend.PoolID) (Head, int64, error) {
	var h Head
	row, err := s.Table.Get(ctx, headKey(pool))
	if err != nil || row.Version == 0 {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+headKey(pool), "pool's head is damaged")
	}
	return h, row.Version, nil
}

// Take makes the owner the one of the next epoch, after the head that the
// caller read. A race gives KindConflict; KindUnknown means that the pool may
// have been taken, and a later look at the head tells.
func (s Store) Take(ctx context.Context, pool cowslipbend.PoolID, head Head, version int64, owner Witness) (*Journal, error) {
	j := &Journal{store: s, pool: pool, head: head, version: version}
	next := head
	next.Epoch++
	next.Owner, next.URL, next.Life = owner.ID, owner.URL, owner.Life
	next.Witnesses, next.Left = nil, false
	b, err := j.batch(next, nil)
	if err != nil {
		return nil, err
	}
	return j, j.Commit(ctx, b)
}

// Head returns the head as last committed.
func (j *Journal) Head() Head {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.head
}
