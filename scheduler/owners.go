package scheduler

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/placer"
)

// Members tells which entries live and carries calls to them.
type Members interface {
	// LiveEntries returns the ids of the live entries, this one included.
	LiveEntries() []cowslipbend.EntryID
	// Joined reports whether this entry has read who else there is and has
	// called them, so that LiveEntries can be trusted.
	Joined() bool
	// Witnesses returns the lives of the other live entries in the order of
	// their ids.
	Witnesses() []journaler.Witness
	// Hold asks a witness to back the epoch of a pool.
	Hold(ctx context.Context, w journaler.Witness, pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool
	// Release asks a witness never to hold epochs up to this one again. It
	// reports whether the witness has released them; the witness may be this
	// entry.
	Release(ctx context.Context, w journaler.Witness, pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool
}

// Owners holds the pools that this entry owns and takes over those whose
// owner is gone. It is safe for concurrent use.
type Owners struct {
	self    journaler.Witness
	store   journaler.Store
	members Members
	sender  Sender
	config  Config
	terms   leaser.Terms
	clock   cowslipbend.Clock
	log     hclog.Logger
	group   errgroup.Group
	nudged  chan struct{}
	done    chan struct{}

	mu    sync.Mutex
	owned map[cowslipbend.PoolID]*Owner
	heads map[cowslipbend.PoolID]journaler.Head
	// away is when another entry became the preferred one of an owned pool.
	away map[cowslipbend.PoolID]cowslipbend.Time
	left bool
}

// Times of ownership.
const (
	// lookPeriod is the time between two looks at the heads of the pools.
	lookPeriod = cowslipbend.Second
	// settled is how long another entry must be the preferred one before a
	// pool is handed over to it.
	settled = 10 * cowslipbend.Second
)

// lookers is the count of pools that are looked at side by side.
const lookers = 8

// NewOwners returns the owners of an entry, which own nothing yet.
func NewOwners(self journaler.Witness, store journaler.Store, m Members, s Sender, c Config, terms leaser.Terms, clock cowslipbend.Clock, log hclog.Logger) *Owners {
	return &Owners{
		self: self, store: store, members: m, sender: s, config: c, terms: terms, clock: clock, log: log,
		done: make(chan struct{}), owned: map[cowslipbend.PoolID]*Owner{}, heads: map[cowslipbend.PoolID]journaler.Head{},
		away: map[cowslipbend.PoolID]cowslipbend.Time{}, nudged: make(chan struct{}, 1),
	}
}

// Run looks after the pools until the context ends.
func (o *Owners) Run(ctx context.Context) error {
	defer close(o.done)
	for {
		select {
		case <-ctx.Done():
			_ = o.group.Wait()
			return nil
		case <-o.nudged:
		case <-o.clock.After(lookPeriod):
		}
		o.Look(ctx)
	}
}

// Nudge has the pools looked at soon, because another entry leaves.
func (o *Owners) Nudge() {
	select {
	case o.nudged <- struct{}{}:
	default:
	}
}

// Leave hands all pools over and takes no others. It returns when each is
// given up or the context has ended.
func (o *Owners) Leave(ctx context.Context) {
	o.mu.Lock()
	o.left = true
	owned := make([]*Owner, 0, len(o.owned))
	for _, owner := range o.owned {
		owned = append(owned, owner)
	}
	o.mu.Unlock()
	var g errgroup.Group
	for _, owner := range owned {
		g.Go(func() error {
			o.leave(ctx, owner)
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owners) leave(ctx context.Context, owner *Owner) {
	if err := owner.Leave(ctx); err != nil {
		o.log.Warn("pool was not handed over", "pool", owner.pool, "error", err)
	}
}

// Done is closed when Run has returned.
func (o *Owners) Done() <-chan struct{} { return o.done }

// Owner returns this entry's owner of the pool, or nil.
func (o *Owners) Owner(pool cowslipbend.PoolID) *Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owned[pool]
}

// Head returns the head of a pool as last read.
func (o *Owners) Head(pool cowslipbend.PoolID) journaler.Head {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heads[pool]
}

// Look reads the head of each declared pool once, ends owners whose epoch is
// over and takes what is free. Run calls it again and again.
func (o *Owners) Look(ctx context.Context) {
	_, set := o.config.Set()
	var g errgroup.Group
	g.SetLimit(lookers)
	for i := range set.Pools {
		g.Go(func() error {
			if err := o.visit(ctx, &set.Pools[i]); err != nil {
				o.log.Debug("pool was not looked at", "pool", set.Pools[i].Name, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owners) visit(ctx context.Context, p *cowslipbend.Pool) error {
	began := o.clock.Now()
	head, version, err := o.store.ReadHead(ctx, p.Name)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.heads[p.Name] = head
	owner, left := o.owned[p.Name], o.left
	o.mu.Unlock()
	if owner != nil {
		o.keep(ctx, owner, head, began)
		return nil
	}
	if left || !o.members.Joined() || !o.free(head) || o.preferred(p.Name) != o.self.ID {
		return nil
	}
	return o.take(ctx, p, head, version)
}

// keep confirms an owner by a read of its head that began then, ends one
// whose epoch is over, and hands over one that another entry should have.
func (o *Owners) keep(ctx context.Context, owner *Owner, head journaler.Head, began cowslipbend.Time) {
	if head.Epoch != owner.Epoch() {
		// An owner that has nothing to commit learns of its end only here.
		owner.End()
		return
	}
	owner.leases.Confirm(began)
	if !o.misplaced(owner.pool) {
		return
	}
	o.group.Go(func() error {
		o.leave(ctx, owner)
		return nil
	})
}

// misplaced reports, once, that another entry has been the preferred one of
// an owned pool for a while.
func (o *Owners) misplaced(pool cowslipbend.PoolID) bool {
	better := o.preferred(pool) != o.self.ID
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	since, known := o.away[pool]
	switch {
	case !better:
		delete(o.away, pool)
	case !known:
		o.away[pool] = now
	case now.Sub(since) >= settled:
		delete(o.away, pool)
		return true
	}
	return false
}

// free reports whether the pool's owner is gone.
func (o *Owners) free(head journaler.Head) bool {
	if head.Epoch == 0 || head.Left {
		return true
	}
	if head.Owner == o.self.ID {
		return true // visit has found that no owner runs here.
	}
	// The life counts: a restarted entry does not own what it owned before,
	// and may not be the one to take it again.
	return !slices.ContainsFunc(o.members.Witnesses(), func(w journaler.Witness) bool { return w.Life == head.Life })
}

// preferred returns the live entry with the highest hash for the pool, so
// that pools spread and entries agree without a word.
func (o *Owners) preferred(pool cowslipbend.PoolID) cowslipbend.EntryID {
	best, most := o.self.ID, uint64(0)
	for _, id := range o.members.LiveEntries() {
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(pool) + "/" + string(id)))
		if sum := h.Sum64(); sum >= most {
			best, most = id, sum
		}
	}
	return best
}

// take makes this entry the owner of the next epoch and starts its duties.
func (o *Owners) take(ctx context.Context, p *cowslipbend.Pool, head journaler.Head, version int64) error {
	owner, committed, err := o.acquire(ctx, p, head, version)
	if err != nil {
		return err
	}
	o.log.Info("pool taken", "pool", p.Name, "epoch", owner.Epoch())
	o.start(ctx, owner)
	if len(head.Witnesses) > 0 && !slices.Contains(head.Witnesses, o.self) {
		o.group.Go(func() error { return owner.lapse(ctx, head.Witnesses, committed) })
	}
	return nil
}

// acquire commits the next epoch and replays the journal. It returns the owner
// and when the commit returned.
func (o *Owners) acquire(ctx context.Context, p *cowslipbend.Pool, head journaler.Head, version int64) (*Owner, cowslipbend.Time, error) {
	own := slices.Contains(head.Witnesses, o.self)
	if own {
		// A release before the commit counts from the commit.
		o.members.Release(ctx, o.self, p.Name, head.Epoch)
	}
	began := o.clock.Now()
	j, err := o.store.Take(ctx, p.Name, head, version, o.self)
	if err != nil {
		return nil, 0, err
	}
	committed := o.clock.Now()
	state, err := j.Load(ctx)
	if err != nil {
		return nil, 0, err
	}
	policy, err := placer.New(p.Policy, p.Weights)
	if err != nil {
		return nil, 0, err
	}
	var released cowslipbend.Time
	if own {
		released = committed
	}
	safe := o.terms.Lapse(committed, len(head.Witnesses), released)
	if head.Epoch == 0 {
		safe = committed
	}
	l := leaser.New(o.terms, o.clock)
	l.Confirm(began)
	engine := NewEngine(p.Name, state, policy, Defaults(), safe)
	return NewOwner(p.Name, j, engine, l, o.members, o.sender, o.config, o.clock, o.log), committed, nil
}

// start runs the duties of an owner.
func (o *Owners) start(ctx context.Context, owner *Owner) {
	o.mu.Lock()
	o.owned[owner.pool] = owner
	o.heads[owner.pool] = owner.journal.Head()
	o.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	o.group.Go(func() error { return owner.Deliver(ctx) })
	o.group.Go(func() error { return owner.Watch(ctx) })
	o.group.Go(func() error {
		defer stop()
		o.rule(ctx, owner)
		return nil
	})
}

// rule runs an owner to its end.
func (o *Owners) rule(ctx context.Context, owner *Owner) {
	err := owner.Run(ctx)
	o.mu.Lock()
	delete(o.owned, owner.pool)
	if o.heads[owner.pool].Epoch == owner.Epoch() {
		o.heads[owner.pool] = owner.journal.Head()
	}
	o.mu.Unlock()
	if err != nil {
		o.log.Warn("pool lost", "pool", owner.pool, "epoch", owner.Epoch(), "error", err)
	}
}
