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
	// Witnesses are the incarnations of entries that must all hold the epoch for
	// the owner to extend leases while the store is unavailable.
	Witnesses []EntryRef      `json:"witnesses,omitempty"`
	Seq       cowslipbend.Seq `json:"seq"`
	// Batch is the random id of the last commit.
	Batch string `json:"batch"`
	// Snapshot names the object that holds the state as of row Base.
	Snapshot string          `json:"snapshot,omitempty"`
	Base     cowslipbend.Seq `json:"base,omitempty"`
	// Trimmed is the number of the last row that was deleted; it is at most Base.
	Trimmed cowslipbend.Seq `json:"trimmed,omitempty"`
	// GivenUp is set if the owner gave up the pool in a planned stop.
	GivenUp bool `json:"left,omitempty"`
}

// EntryRef identifies one incarnation of an entry.
type EntryRef struct {
	ID   cowslipbend.EntryID     `json:"id"`
	URL  string                  `json:"url"`
	Life cowslipbend.Incarnation `json:"life"`
}

// Journal is a pool's journal as one owner reads and appends it. Prepare, Commit
// and Snapshot must not be called concurrently; PossibleWitnesses and Head may
// be called at any time.
//
// Every commit is conditional on the version of the head row, so that an owner
// whose epoch is over cannot write.
type Journal struct {
	store Store
	pool  cowslipbend.PoolID

	mu      sync.Mutex
	head    Head
	version int64
	// unconfirmed is the batch whose commit may have taken effect.
	unconfirmed *Batch
	// lastSnapshot is the last snapshot that this owner has written, if any. The
	// next commit makes the head name it.
	lastSnapshot *snapshot
	// rowsSinceSnapshot counts the rows committed since the last snapshot was
	// begun.
	rowsSinceSnapshot int
	// writingSnapshot is set while a snapshot is being written.
	writingSnapshot bool
}

// Store is the storage of journals: a table for heads and rows, and objects for
// snapshots.
type Store struct {
	Table   cowslipbend.Table
	Objects cowslipbend.Objects
}

// HeadPrefix is the key prefix of head rows.
const HeadPrefix = "pool/"

func headKey(pool cowslipbend.PoolID) string { return HeadPrefix + string(pool) }

func rowPrefix(pool cowslipbend.PoolID) string { return "log/" + string(pool) + "/" }

func rowKey(pool cowslipbend.PoolID, seq cowslipbend.Seq) string {
	return fmt.Sprintf("%s%016d", rowPrefix(pool), seq)
}

// ReadHead returns a pool's head and the version of its row. The version is 0 if
// the pool has no head yet.
func (s Store) ReadHead(ctx context.Context, pool cowslipbend.PoolID) (Head, int64, error) {
	var h Head
	row, err := s.Table.Get(ctx, headKey(pool))
	if err != nil || row.Version == 0 {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, cowslipbend.Failf(cowslipbend.KindBroken, err, "restore the row "+headKey(pool), "pool's head row cannot be decoded")
	}
	return h, row.Version, nil
}

// TakeOver makes the given entry the pool's owner in the epoch after that of the
// head, which the caller has read with its version. It returns KindConflict if
// another entry was first. KindUnknown means that the takeover may have taken
// effect; the caller must read the head again to find out.
func (s Store) TakeOver(ctx context.Context, pool cowslipbend.PoolID, head Head, version int64, owner EntryRef) (*Journal, error) {
	j := &Journal{store: s, pool: pool, head: head, version: version}
	next := head
	next.Epoch++
	next.Owner, next.URL, next.Life = owner.ID, owner.URL, owner.Life
	next.Witnesses, next.GivenUp = nil, false
	b, err := j.newBatch(next, nil)
	if err != nil {
		return nil, err
	}
	return j, j.Commit(ctx, b)
}

// Head returns the head that this owner committed last.
func (j *Journal) Head() Head {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.head
}
