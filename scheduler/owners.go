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

// Members is the view of the live entries, and calls witnesses among them.
type Members interface {
	// LiveEntries returns the ids of the live entries, this one included.
	LiveEntries() []cowslipbend.EntryID
	// Joined reports whether this entry has read the list of entries and has
	// called them, so that LiveEntries can be trusted.
	Joined() bool
	// Witnesses returns the other live entries with their incarnations, ordered
	// by id.
	Witnesses() []journaler.EntryRef
	// Hold asks a witness to hold the epoch of a pool and reports whether it does.
	Hold(ctx context.Context, w journaler.EntryRef, pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool
	// Release asks a witness never to hold epochs up to this one again, and
	// reports whether it has agreed. The witness may be this entry.
	Release(ctx context.Context, w journaler.EntryRef, pool cowslipbend.PoolID, epoch cowslipbend.Epoch) bool
}

// Owners runs the owners of the pools that this entry owns, and takes over
// pools whose owner is gone. It is safe for concurrent use.
type Owners struct {
	// Guard, unless it is nil, calls functions and returns their panics as errors. It
	// must be set before Run is called.
	Guard func(part string, f func() error) error

	self    journaler.EntryRef
	store   journaler.Store
	members Members
	sender  Sender
	config  Config
	// domains may be nil.
	domains    Domains
	terms      leaser.Terms
	clock      cowslipbend.Clock
	log        hclog.Logger
	background errgroup.Group
	wake       chan struct{}
	done       chan struct{}

	mu    sync.Mutex
	owned map[cowslipbend.PoolID]*Owner
	heads map[cowslipbend.PoolID]journaler.Head
	// misplacedSince is when another entry became the preferred one of an owned
	// pool.
	misplacedSince map[cowslipbend.PoolID]cowslipbend.Time
	leaving        bool
}

// Intervals of ownership changes.
const (
	// headPollInterval is the time between two reads of the heads of the pools.
	headPollInterval = cowslipbend.Second
	// handoverDelay is how long another entry must be the preferred one before a
	// pool is handed over to it.
	handoverDelay = 10 * cowslipbend.Second
)

// maxHeadPolls is the number of heads that are read concurrently.
const maxHeadPolls = 8

// NewOwners returns the Owners of an entry, which owns no pool yet.
func NewOwners(self journaler.EntryRef, store journaler.Store, m Members, s Sender, c Config, terms leaser.Terms, clock cowslipbend.Clock, log hclog.Logger) *Owners {
	return &Owners{
		self: self, store: store, members: m, sender: s, config: c, terms: terms, clock: clock, log: log,
		done: make(chan struct{}), owned: map[cowslipbend.PoolID]*Owner{}, heads: map[cowslipbend.PoolID]journaler.Head{},
		misplacedSince: map[cowslipbend.PoolID]cowslipbend.Time{}, wake: make(chan struct{}, 1),
	}
}

// Run polls the heads of the pools until the context ends.
func (o *Owners) Run(ctx context.Context) error {
	defer close(o.done)
	for {
		select {
		case <-ctx.Done():
			_ = o.background.Wait()
			return nil
		case <-o.wake:
		case <-o.clock.After(headPollInterval):
		}
		o.PollHeads(ctx)
	}
}

// Wake triggers a poll of the pools' heads, because another entry leaves.
func (o *Owners) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Leave gives up all pools and takes over no others. It returns when each pool
// is given up or the context has ended.
func (o *Owners) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	owned := make([]*Owner, 0, len(o.owned))
	for _, owner := range o.owned {
		owned = append(owned, owner)
	}
	o.mu.Unlock()
	var g errgroup.Group
	for _, owner := range owned {
		g.Go(func() error {
			o.handOver(ctx, owner)
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owners) handOver(ctx context.Context, owner *Owner) {
	if err := owner.Leave(ctx); err != nil {
		o.log.Warn("pool was not given up", "pool", owner.pool, "error", err)
	}
}

// Done returns a channel that is closed when Run has returned.
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

// PollHeads reads the head of each declared pool once, ends owners whose epoch
// is over and takes over pools without an owner. Run calls it periodically.
func (o *Owners) PollHeads(ctx context.Context) {
	_, set := o.config.Set()
	var g errgroup.Group
	g.SetLimit(maxHeadPolls)
	for i := range set.Pools {
		g.Go(func() error {
			if err := o.guard("takeover", func() error { return o.pollPool(ctx, &set.Pools[i]) }); err != nil {
				o.log.Debug("poll or takeover of pool failed", "pool", set.Pools[i].Name, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owners) pollPool(ctx context.Context, p *cowslipbend.Pool) error {
	requestedAt := o.clock.Now()
	head, version, err := o.store.ReadHead(ctx, p.Name)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.heads[p.Name] = head
	owner, leaving := o.owned[p.Name], o.leaving
	o.mu.Unlock()
	if owner != nil {
		o.checkOwner(ctx, owner, head, requestedAt)
		return nil
	}
	if leaving || !o.members.Joined() || !o.isUnowned(head) || o.preferredEntry(p.Name) != o.self.ID {
		return nil
	}
	return o.takeOver(ctx, p, head, version)
}

// checkOwner compares an owner with its pool's head, whose read began at
// requestedAt. It confirms the owner's leases, ends the owner if its epoch is
// over, and hands the pool over if another entry should have it.
func (o *Owners) checkOwner(ctx context.Context, owner *Owner, head journaler.Head, requestedAt cowslipbend.Time) {
	if head.Epoch != owner.Epoch() {
		// An owner that has nothing to commit learns only here that its epoch is over.
		owner.End()
		return
	}
	owner.leases.Confirm(requestedAt)
	if !o.shouldHandOver(owner.pool) {
		return
	}
	o.background.Go(func() error {
		o.handOver(ctx, owner)
		return nil
	})
}

// shouldHandOver reports, once, that another entry has been the preferred one
// of an owned pool for handoverDelay.
func (o *Owners) shouldHandOver(pool cowslipbend.PoolID) bool {
	misplaced := o.preferredEntry(pool) != o.self.ID
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	since, known := o.misplacedSince[pool]
	switch {
	case !misplaced:
		delete(o.misplacedSince, pool)
	case !known:
		o.misplacedSince[pool] = now
	case now.Sub(since) >= handoverDelay:
		delete(o.misplacedSince, pool)
		return true
	}
	return false
}

// isUnowned reports whether the pool has no owner or its owner is gone.
func (o *Owners) isUnowned(head journaler.Head) bool {
	if head.Epoch == 0 || head.GivenUp {
		return true
	}
	if head.Owner == o.self.ID {
		return true // pollPool has found that no owner runs in this entry.
	}
	// Incarnations are compared, not ids: a restarted entry no longer owns its
	// former pools and may not be the preferred entry to take them over.
	return !slices.ContainsFunc(o.members.Witnesses(), func(w journaler.EntryRef) bool { return w.Life == head.Life })
}

// preferredEntry returns the live entry with the highest hash for the pool, so
// that pools are spread and entries agree without communication.
func (o *Owners) preferredEntry(pool cowslipbend.PoolID) cowslipbend.EntryID {
	best, highest := o.self.ID, uint64(0)
	for _, id := range o.members.LiveEntries() {
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(pool) + "/" + string(id)))
		if sum := h.Sum64(); sum >= highest {
			best, highest = id, sum
		}
	}
	return best
}

// takeOver makes this entry the owner of the pool's next epoch and starts the
// owner.
func (o *Owners) takeOver(ctx context.Context, p *cowslipbend.Pool, head journaler.Head, version int64) error {
	owner, committedAt, err := o.acquire(ctx, p, head, version)
	if err != nil {
		return err
	}
	o.log.Info("pool taken over", "pool", p.Name, "epoch", owner.Epoch())
	o.startOwner(ctx, owner)
	if len(head.Witnesses) > 0 && !slices.Contains(head.Witnesses, o.self) {
		o.background.Go(func() error { return owner.awaitRelease(ctx, head.Witnesses, committedAt) })
	}
	return nil
}

// acquire commits the next epoch and replays the journal. It returns the owner
// and when the commit returned.
func (o *Owners) acquire(ctx context.Context, p *cowslipbend.Pool, head journaler.Head, version int64) (*Owner, cowslipbend.Time, error) {
	isWitness := slices.Contains(head.Witnesses, o.self)
	if isWitness {
		// A release before the commit counts from the time of the commit.
		o.members.Release(ctx, o.self, p.Name, head.Epoch)
	}
	sentAt := o.clock.Now()
	j, err := o.store.TakeOver(ctx, p.Name, head, version, o.self)
	if err != nil {
		return nil, 0, err
	}
	committedAt := o.clock.Now()
	state, err := j.Load(ctx)
	if err != nil {
		return nil, 0, err
	}
	policy, err := placer.New(p.Policy, p.Weights)
	if err != nil {
		return nil, 0, err
	}
	var releasedAt cowslipbend.Time
	if isWitness {
		releasedAt = committedAt
	}
	priorLeasesEnd := o.terms.PriorLeasesEnd(committedAt, len(head.Witnesses), releasedAt)
	if head.Epoch == 0 {
		priorLeasesEnd = committedAt
	}
	l := leaser.New(o.terms, o.clock)
	l.Confirm(sentAt)
	engine := NewEngine(p.Name, state, policy, Defaults(), priorLeasesEnd)
	engine.SetDomains(o.domains)
	return NewOwner(p.Name, j, engine, l, o.members, o.sender, o.config, o.clock, o.log), committedAt, nil
}

// startOwner starts the goroutines of an owner.
func (o *Owners) startOwner(ctx context.Context, owner *Owner) {
	o.mu.Lock()
	o.owned[owner.pool] = owner
	o.heads[owner.pool] = owner.journal.Head()
	o.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	o.background.Go(func() error { return o.guard("deliver", func() error { return owner.Deliver(ctx) }) })
	o.background.Go(func() error { return o.guard("witness", func() error { return owner.MaintainLeases(ctx) }) })
	o.background.Go(func() error {
		defer stop()
		o.runOwner(ctx, owner)
		return nil
	})
}

func (o *Owners) guard(part string, f func() error) error {
	if o.Guard == nil {
		return f()
	}
	return o.Guard(part, f)
}

// runOwner runs an owner to its end. One that panics has ended: its journal is sound,
// and this entry or another one takes the pool over from it.
func (o *Owners) runOwner(ctx context.Context, owner *Owner) {
	err := o.guard("owner", func() error { return owner.Run(ctx) })
	o.mu.Lock()
	delete(o.owned, owner.pool)
	if o.heads[owner.pool].Epoch == owner.Epoch() {
		o.heads[owner.pool] = owner.journal.Head()
	}
	o.mu.Unlock()
	if err != nil {
		o.log.Warn("ownership of pool lost", "pool", owner.pool, "epoch", owner.Epoch(), "error", err)
	}
}
