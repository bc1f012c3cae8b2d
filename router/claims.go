package router

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/timer"
)

// claimPrefix stands before the keys of claim rows.
const claimPrefix = "claim/"

// Parameters of the grouping of claims.
const (
	groupWindow  = 2 * cowslipbend.Millisecond // for others to join a group
	groupSize    = 100                         // changes in one transaction
	groupRing    = 4096                        // changes that wait
	groupFlights = 4                           // transactions under way
	changeTries  = 3                           // of a change whose answer was lost
)

// Remember is how long a claim is kept: a repeat that comes later runs anew.
const Remember = cowslipbend.Day

// TableClaims keeps claims as rows of a table. Changes that come within a few
// milliseconds go into one transaction; if a row of it has changed, each is
// tried alone, so that a conflict concerns its own request only.
type TableClaims struct {
	table cowslipbend.Table
	clock cowslipbend.Clock
	ring  *ring.Ring[*change]
	done  chan struct{}
	out   outage
}

// change sets or removes one row that must have a version.
type change struct {
	key     string
	version int64
	value   []byte // nil removes the row
	told    chan told
}

type told struct {
	version int64
	err     error
}

// NewClaims returns claims in the table. Run must run for changes to be made.
func NewClaims(table cowslipbend.Table, clock cowslipbend.Clock) *TableClaims {
	return &TableClaims{table: table, clock: clock, ring: ring.New[*change](groupRing), done: make(chan struct{})}
}

// Insert makes the claim the one of the key.
func (t *TableClaims) Insert(ctx context.Context, key string, c Claim) (Claim, error) {
	return t.Replace(ctx, key, Claim{}, c)
}

// Replace makes next the claim of the key if old still is. If the key has no
// claim any more, next is inserted.
func (t *TableClaims) Replace(ctx context.Context, key string, old, next Claim) (Claim, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "report this", "claim does not encode")
	}
	row := claimPrefix + key
	for n := 1; ; n++ {
		var version int64
		version, err = t.submit(ctx, &change{key: row, version: old.version, value: value})
		if err == nil {
			next.version = version
			return next, nil
		}
		if !changed(err) {
			return Claim{}, err
		}
		have, readErr := t.read(ctx, row)
		switch {
		case readErr != nil:
			return Claim{}, readErr
		case have.Request == next.Request:
			return have, nil
		case have.version != 0 && have.version != old.version:
			return have, cowslipbend.Fail(cowslipbend.KindConflict, "request is claimed already", "join it")
		case n >= changeTries:
			return Claim{}, err
		}
		old = have
	}
}

// Get returns the claim of the key.
func (t *TableClaims) Get(ctx context.Context, key string) (Claim, error) {
	return t.read(ctx, claimPrefix+key)
}

// Release removes the claim of the key if it still is old. A key without a
// claim counts as released.
func (t *TableClaims) Release(ctx context.Context, key string, old Claim) (Claim, error) {
	row := claimPrefix + key
	for n := 1; ; n++ {
		_, err := t.submit(ctx, &change{key: row, version: old.version})
		if err == nil {
			return Claim{}, nil
		}
		if !changed(err) {
			return Claim{}, err
		}
		have, readErr := t.read(ctx, row)
		switch {
		case readErr != nil:
			return Claim{}, readErr
		case have.version == 0:
			return Claim{}, nil
		case have.version != old.version:
			return have, cowslipbend.Fail(cowslipbend.KindConflict, "request is claimed anew", "join it")
		case n >= changeTries:
			return Claim{}, err
		}
	}
}

// changed reports whether the row must be read to know what stands there.
func changed(err error) bool {
	kind := cowslipbend.KindOf(err)
	return kind == cowslipbend.KindConflict || kind == cowslipbend.KindUnknown
}

// read returns the claim in a row, or one of version 0 if there is none.
func (t *TableClaims) read(ctx context.Context, key string) (Claim, error) {
	row, err := t.table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return Claim{}, err
	}
	c, err := decodeClaim(row.Value)
	c.version = row.Version
	return c, err
}

// maxClaim bounds the content of a claim row in bytes.
const maxClaim = 4096

// decodeClaim returns the claim in a row's value, or KindBroken.
func decodeClaim(value []byte) (Claim, error) {
	var c Claim
	if len(value) > maxClaim {
		return c, cowslipbend.Fail(cowslipbend.KindBroken, "claim is too long", "delete its row")
	}
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, cowslipbend.Failf(cowslipbend.KindBroken, err, "delete its row", "claim is damaged")
	}
	if c.Request == "" || c.Life == "" || c.URL == "" {
		return Claim{}, cowslipbend.Fail(cowslipbend.KindBroken, "claim lacks a part", "delete its row")
	}
	return c, nil
}

// submit hands a change to the duty and waits for its result.
func (t *TableClaims) submit(ctx context.Context, c *change) (int64, error) {
	if err := t.out.refuse(t.clock.Now()); err != nil {
		return 0, err
	}
	c.told = make(chan told, 1)
	if !t.ring.Offer(c) {
		return 0, &cowslipbend.Error{Kind: cowslipbend.KindBusy, What: "too many claims wait for the store", Remedy: "try again", After: cowslipbend.Second}
	}
	select {
	case r := <-c.told:
		return r.version, r.err
	case <-ctx.Done():
		return 0, cowslipbend.Failf(cowslipbend.KindUnknown, ctx.Err(), "ask again with the same id", "time passed before the store answered")
	case <-t.done:
		return 0, cowslipbend.Fail(cowslipbend.KindUnknown, "entry stopped before the store answered", "ask again with the same id")
	}
}

// Run commits changes until the context ends.
func (t *TableClaims) Run(ctx context.Context) error {
	defer close(t.done)
	defer t.ring.Close()
	var g errgroup.Group
	g.SetLimit(groupFlights)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case first := <-t.ring.Items():
			timer.Sleep(ctx, t.clock, groupWindow)
			group := append([]*change{first}, t.ring.Drain(groupSize-1)...)
			g.Go(func() error {
				t.commit(ctx, group)
				return nil
			})
		}
	}
}

// Done is closed when Run has returned.
func (t *TableClaims) Done() <-chan struct{} { return t.done }

// commit tries a group in one transaction, then what must go alone.
func (t *TableClaims) commit(ctx context.Context, group []*change) {
	together, alone := split(group)
	version, err := t.table.Commit(ctx, transaction(together))
	t.out.note(t.clock.Now(), err)
	if len(together) > 1 && cowslipbend.KindOf(err) == cowslipbend.KindConflict {
		alone = append(together, alone...)
		together = nil
	}
	for _, c := range together {
		c.told <- told{version, err}
	}
	for _, c := range alone {
		version, err := t.table.Commit(ctx, transaction([]*change{c}))
		c.told <- told{version, err}
	}
}

// split sets changes of rows that occur before in the group apart.
func split(group []*change) (together, alone []*change) {
	seen := map[string]bool{}
	for _, c := range group {
		if seen[c.key] {
			alone = append(alone, c)
			continue
		}
		seen[c.key] = true
		together = append(together, c)
	}
	return together, alone
}

func transaction(group []*change) cowslipbend.Txn {
	var txn cowslipbend.Txn
	for _, c := range group {
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: c.key, Version: c.version})
		if c.value == nil {
			txn.Dels = append(txn.Dels, c.key)
			continue
		}
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: c.key, Value: c.value})
	}
	return txn
}
