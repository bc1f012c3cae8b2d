package scheduler

import (
	"context"
	"hash/fnv"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/placer"
	"cowslipbend.dev/timer"
)

// Members tells which entries live.
type Members interface {
	// LiveEntries returns the ids of the live entries, this one included.
	LiveEntries() []cowslipbend.EntryID
	// Joined reports whether this entry has read who else there is and has
	// called them, so that LiveEntries can be trusted.
	Joined() bool
}

// Owners holds the pools that this entry owns and takes over those whose
// owner is gone. It is safe for concurrent use.
type Owners struct {
	self    journaler.Witness
	store   journaler.Store
	members Members
	sender  Sender
	config  Config
	terms   leaser.Options
	clock   cowslipbend.Clock
	log     hclog.Logger
	group   errgroup.Group
	done    chan struct{}

	mu    sync.Mutex
	owned map[cowslipbend.PoolID]*Owner
	heads map[cowslipbend.PoolID]journaler.Head
}

// lookPeriod is the time between two looks at the heads of the pools.
const lookPeriod = cowslipbend.Second

// NewOwners returns the owners of an entry, which own nothing yet.
func NewOwners(self journaler.Witness, store journaler.Store, m Members, s Sender, c Config, terms leaser.Options, clock cowslipbend.Clock, log hclog.Logger) *Owners {
	return &Owners{
		self: self, store: store, members: m, sender: s, config: c, terms: terms, clock: clock, log: log,
		done: make(chan struct{}), owned: map[cowslipbend.PoolID]*Owner{}, heads: map[cowslipbend.PoolID]journaler.Head{},
	}
}

// Run looks after the pools until the context ends.
func (o *Owners) Run(ctx context.Context) error {
	defer close(o.done)
	err := timer.Every(ctx, o.clock, lookPeriod, func(ctx context.Context) error {
		o.Look(ctx)
		return nil
	})
	_ = o.group.Wait()
	return err
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
	for i := range set.Pools {
		if err := o.visit(ctx, &set.Pools[i]); err != nil {
			o.log.Debug("pool was not looked at", "pool", set.Pools[i].Name, "error", err)
		}
	}
}

func (o *Owners) visit(ctx context.Context, p *cowslipbend.Pool) error {
	began := o.clock.Now()
	head, version, err := o.store.ReadHead(ctx, p.Name)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.heads[p.Name] = head
	owner := o.owned[p.Name]
	o.mu.Unlock()
	if owner != nil {
		if head.Epoch == owner.Epoch() {
			owner.leases.Confirm(began)
			return nil
		}
		// An owner that has nothing to commit learns of its end only here.
		owner.End()
		return nil
	}
	if !o.members.Joined() || !o.free(head) || o.preferred(p.Name) != o.self.ID {
		return nil
	}
	return o.take(ctx, p, head, version)
}

// free reports whether the pool's owner is gone.
func (o *Owners) free(head journaler.Head) bool {
	if head.Epoch == 0 || head.Left {
		return true
	}
	if head.Owner == o.self.ID {
		return true // visit has found that no owner runs here.
	}
	for _, id := range o.members.LiveEntries() {
		if id == head.Owner {
			return false
		}
	}
	return true
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

// take commits the next epoch, replays the journal and starts the owner.
func (o *Owners) take(ctx context.Context, p *cowslipbend.Pool, head journaler.Head, version int64) error {
	began := o.clock.Now()
	j, err := o.store.Take(ctx, p.Name, head, version, o.self)
	if err != nil {
		return err
	}
	safe := o.clock.Now().Add(o.terms.Margin(o.terms.Length))
	state, err := j.Load(ctx)
	if err != nil {
		return err
	}
	policy, err := placer.New(p.Policy, p.Weights)
	if err != nil {
		return err
	}
	if head.Epoch == 0 {
		safe = o.clock.Now()
	}
	l := leaser.New(o.terms, o.clock)
	l.Confirm(began)
	owner := NewOwner(p.Name, j, NewEngine(p.Name, state, policy, Defaults(), safe), l, o.sender, o.config, o.clock, o.log)
	o.mu.Lock()
	o.owned[p.Name] = owner
	o.heads[p.Name] = j.Head()
	o.mu.Unlock()
	o.log.Info("pool taken", "pool", p.Name, "epoch", owner.Epoch())
	o.group.Go(func() error { return owner.Deliver(ctx) })
	o.group.Go(func() error {
		o.rule(ctx, owner)
		return nil
	})
	return nil
}

// rule runs an owner to its end.
func (o *Owners) rule(ctx context.Context, owner *Owner) {
	err := owner.Run(ctx)
	o.mu.Lock()
	delete(o.owned, owner.pool)
	o.mu.Unlock()
	if err != nil {
		o.log.Warn("pool lost", "pool", owner.pool, "epoch", owner.Epoch(), "error", err)
	}
}
