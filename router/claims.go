package router

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/timer"
)

// claimPrefix is the prefix of the keys of claim rows.
const claimPrefix = "claim/"

// Limits of the batches in which claims are written.
const (
	batchWindow          = 2 * cowslipbend.Millisecond // for further changes to join a batch
	maxBatch             = 100                         // changes in one transaction
	maxPendingChanges    = 4096                        // beyond it, requests are refused as busy
	maxConcurrentBatches = 4                           // transactions in flight
	maxChangeAttempts    = 3                           // of a change whose result is unknown or that met a conflict
)

// ClaimRetention is how long a claim is kept. A repeat that comes later runs
// as a new request.
const ClaimRetention = cowslipbend.Day

// TableClaims stores claims as rows of a table. Changes within the batch
// window are committed in one transaction. If it fails with a conflict, each
// change is committed on its own, so that a conflict fails only the request
// that it concerns.
type TableClaims struct {
	table   cowslipbend.Table
	clock   cowslipbend.Clock
	pending *ring.Ring[*change]
	stopped chan struct{}
	breaker tableBreaker
}

// change sets or removes one row, on condition that the row has the version.
type change struct {
	key     string
	version int64
	value   []byte // nil removes the row
	result  chan changeResult
}

type changeResult struct {
	version int64
	err     error
}

// NewClaims returns claims that are stored in the table. Changes are committed
// only while Run runs.
func NewClaims(table cowslipbend.Table, clock cowslipbend.Clock) *TableClaims {
	return &TableClaims{table: table, clock: clock, pending: ring.New[*change](maxPendingChanges), stopped: make(chan struct{})}
}

// Insert implements Claims.
func (t *TableClaims) Insert(ctx context.Context, key string, c Claim) (Claim, error) {
	return t.Replace(ctx, key, Claim{}, c)
}

// Replace implements Claims. If the claim of the key has been released
// meanwhile, next is inserted.
func (t *TableClaims) Replace(ctx context.Context, key string, old, next Claim) (Claim, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "claim cannot be encoded as JSON")
	}
	rowKey := claimPrefix + key
	for attempt := 1; ; attempt++ {
		var version int64
		version, err = t.submit(ctx, &change{key: rowKey, version: old.version, value: value})
		if err == nil {
			next.version = version
			return next, nil
		}
		if !mayHaveChanged(err) {
			return Claim{}, err
		}
		current, readErr := t.read(ctx, rowKey)
		switch {
		case readErr != nil:
			return Claim{}, readErr
		case current.Request == next.Request:
			return current, nil
		case current.version != 0 && current.version != old.version:
			return current, cowslipbend.Fail(cowslipbend.KindConflict, "request is already claimed by another entry", "join it")
		case attempt >= maxChangeAttempts && cowslipbend.KindOf(err) == cowslipbend.KindConflict:
			// There is no claim to join: each one was released before it was read.
			return Claim{}, cowslipbend.Failf(cowslipbend.KindUnknown, err, "repeat the request with the same id", "claims of the request came and went")
		case attempt >= maxChangeAttempts:
			return Claim{}, err
		}
		old = current
	}
}

// Get implements Claims.
func (t *TableClaims) Get(ctx context.Context, key string) (Claim, error) {
	return t.read(ctx, claimPrefix+key)
}

// Release implements Claims. A key without a claim counts as released.
func (t *TableClaims) Release(ctx context.Context, key string, old Claim) (Claim, error) {
	rowKey := claimPrefix + key
	for attempt := 1; ; attempt++ {
		_, err := t.submit(ctx, &change{key: rowKey, version: old.version})
		if err == nil {
			return Claim{}, nil
		}
		if !mayHaveChanged(err) {
			return Claim{}, err
		}
		current, readErr := t.read(ctx, rowKey)
		switch {
		case readErr != nil:
			return Claim{}, readErr
		case current.version == 0:
			return Claim{}, nil
		case current.version != old.version:
			return current, cowslipbend.Fail(cowslipbend.KindConflict, "claim was replaced by another entry", "join it")
		case attempt >= maxChangeAttempts:
			return Claim{}, err
		}
	}
}

// mayHaveChanged reports whether a failed change leaves the content of the row
// unknown, so that it must be read.
func mayHaveChanged(err error) bool {
	kind := cowslipbend.KindOf(err)
	return kind == cowslipbend.KindConflict || kind == cowslipbend.KindUnknown
}

// read returns the claim in a row, or the zero Claim if there is none.
func (t *TableClaims) read(ctx context.Context, key string) (Claim, error) {
	row, err := t.table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return Claim{}, err
	}
	c, err := decodeClaim(row.Value)
	c.version = row.Version
	return c, err
}

// maxClaimBytes bounds the value of a claim row.
const maxClaimBytes = 4096

// decodeClaim returns the claim in a row's value, or KindBroken.
func decodeClaim(value []byte) (Claim, error) {
	var c Claim
	if len(value) > maxClaimBytes {
		return c, cowslipbend.Fail(cowslipbend.KindBroken, "value of the claim row is longer than 4096 bytes", "delete its row")
	}
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "delete its row", "claim row is not valid JSON")
	}
	if c.Request == "" || c.Life == "" || c.URL == "" {
		return Claim{}, cowslipbend.Fail(cowslipbend.KindBroken, "claim row lacks req, life or url", "delete its row")
	}
	return c, nil
}

// submit hands a change to Run and waits for its result.
func (t *TableClaims) submit(ctx context.Context, c *change) (int64, error) {
	if err := t.breaker.check(t.clock.Now()); err != nil {
		return 0, err
	}
	c.result = make(chan changeResult, 1)
	if !t.pending.Offer(c) {
		return 0, &cowslipbend.Error{Kind: cowslipbend.KindBusy, What: "too many changes of claims wait for the table", Remedy: "try again", After: cowslipbend.Second}
	}
	select {
	case r := <-c.result:
		return r.version, r.err
	case <-ctx.Done():
		return 0, cowslipbend.Failf(cowslipbend.KindUnknown, ctx.Err(), "ask again with the same id", "deadline passed before the table answered")
	case <-t.stopped:
		return 0, cowslipbend.Fail(cowslipbend.KindUnknown, "entry stopped before the table answered", "ask again with the same id")
	}
}

// Run commits changes until the context ends.
func (t *TableClaims) Run(ctx context.Context) error {
	defer close(t.stopped)
	defer t.pending.Close()
	var g errgroup.Group
	g.SetLimit(maxConcurrentBatches)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case oldest := <-t.pending.Items():
			timer.Sleep(ctx, t.clock, batchWindow)
			batch := append([]*change{oldest}, t.pending.Drain(maxBatch-1)...)
			g.Go(func() error {
				t.commit(ctx, batch)
				return nil
			})
		}
	}
}

// Done is closed when Run has returned.
func (t *TableClaims) Done() <-chan struct{} { return t.stopped }

// commit commits a batch in one transaction, then the changes that need a
// transaction of their own.
func (t *TableClaims) commit(ctx context.Context, batch []*change) {
	together, single := splitBatch(batch)
	version, err := t.table.Commit(ctx, newTxn(together))
	t.breaker.record(t.clock.Now(), err)
	if len(together) > 1 && cowslipbend.KindOf(err) == cowslipbend.KindConflict {
		single = append(together, single...)
		together = nil
	}
	for _, c := range together {
		c.result <- changeResult{version, err}
	}
	for _, c := range single {
		version, err := t.table.Commit(ctx, newTxn([]*change{c}))
		c.result <- changeResult{version, err}
	}
}

// splitBatch separates the changes whose row already occurs in the batch, so
// that a transaction changes each row at most once.
func splitBatch(batch []*change) (together, single []*change) {
	keys := map[string]bool{}
	for _, c := range batch {
		if keys[c.key] {
			single = append(single, c)
			continue
		}
		keys[c.key] = true
		together = append(together, c)
	}
	return together, single
}

func newTxn(batch []*change) cowslipbend.Txn {
	var txn cowslipbend.Txn
	for _, c := range batch {
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: c.key, Version: c.version})
		if c.value == nil {
			txn.Dels = append(txn.Dels, c.key)
			continue
		}
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: c.key, Value: c.value})
	}
	return txn
}
