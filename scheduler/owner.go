package scheduler

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
)

// Sender sends orders to agents. It returns the attempts that the agent has
// definitely refused; after an error it is not known which orders were taken.
type Sender interface {
	Send(ctx context.Context, worker cowslipbend.WorkerID, pool cowslipbend.PoolID, epoch cowslipbend.Epoch, o *Orders) ([]Refusal, error)
}

// Refusal is an attempt that an agent has definitely refused to start.
type Refusal struct {
	Ref
	Reason string
}

// Config returns the declarations in force.
type Config interface {
	Set() (cowslipbend.Revision, *cowslipbend.Set)
}

// Capacities and intervals of an owner.
const (
	eventCapacity      = 4096
	maxBatchEvents     = 1000 // in one commit
	tickInterval       = 200 * cowslipbend.Millisecond
	minCommitInterval  = 100 * cowslipbend.Millisecond // under load
	storeRetryInterval = 500 * cowslipbend.Millisecond // while the store is not available
	maxDroppedJobs     = 100                           // in one commit
	dropInterval       = 10 * cowslipbend.Second
)

// event is an input of the owner's loop. Exactly one of the fields before
// reply is set.
type event struct {
	heartbeat *Heartbeat
	submit    *cowslipbend.Job
	cancel    []cowslipbend.JobID
	drain     *drainRequest
	refusals  *refusals
	view      func(*Engine)
	// priorLeasesEnd is when all leases of earlier epochs have ended.
	priorLeasesEnd cowslipbend.Time
	leave          bool
	reply          chan error
}

// drainRequest asks to drain a worker or to end its drain.
type drainRequest struct {
	worker  cowslipbend.WorkerID
	undrain bool
}

type refusals struct {
	worker cowslipbend.WorkerID
	list   []Refusal
}

// Owner runs a pool for one epoch.
type Owner struct {
	pool       cowslipbend.PoolID
	journal    *journaler.Journal
	engine     *Engine
	leases     *leaser.Leaser
	sender     Sender
	config     Config
	clock      cowslipbend.Clock
	log        hclog.Logger
	events     *ring.Ring[event]
	outbox     *ring.Ring[delivery]
	epoch      cowslipbend.Epoch
	members    Members
	inbox      *heartbeatInbox
	stopped    chan struct{}
	stopOnce   sync.Once
	background errgroup.Group
	done       chan struct{}

	// committedAt is when the last commit ended; droppedAt is when expired jobs
	// were last searched for.
	committedAt cowslipbend.Time
	droppedAt   cowslipbend.Time
}

// NewOwner returns the owner of a pool, given the journal that its takeover
// returned.
func NewOwner(pool cowslipbend.PoolID, j *journaler.Journal, e *Engine, l *leaser.Leaser, m Members, s Sender, c Config, clock cowslipbend.Clock, log hclog.Logger) *Owner {
	return &Owner{
		pool: pool, journal: j, engine: e, leases: l, members: m, sender: s, config: c, clock: clock, log: log,
		events: ring.New[event](eventCapacity), outbox: ring.New[delivery](outboxCapacity), inbox: newHeartbeatInbox(e),
		epoch: j.Head().Epoch, stopped: make(chan struct{}), done: make(chan struct{}),
	}
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() cowslipbend.Epoch { return o.epoch }

// End stops the owner because its epoch is over. It grants no more leases.
func (o *Owner) End() {
	o.leases.End()
	o.stopOnce.Do(func() { close(o.stopped) })
}

// Done returns a channel that is closed when Run has returned.
func (o *Owner) Done() <-chan struct{} { return o.done }

// HandleHeartbeat processes a heartbeat and returns the lease and the
// acknowledgements for its reply. It never blocks.
func (o *Owner) HandleHeartbeat(b Heartbeat) (cowslipbend.Span, []Ref) {
	return o.inbox.receive(b, o.leases, o.clock)
}

// Submit submits a job and returns once its record is committed.
func (o *Owner) Submit(ctx context.Context, job cowslipbend.Job) error {
	return o.call(ctx, event{submit: &job})
}

// Cancel cancels a set of jobs and returns once their one record is committed.
func (o *Owner) Cancel(ctx context.Context, ids ...cowslipbend.JobID) error {
	return o.call(ctx, event{cancel: ids})
}

// Drain drains a worker and returns once its record is committed.
func (o *Owner) Drain(ctx context.Context, worker cowslipbend.WorkerID) error {
	return o.call(ctx, event{drain: &drainRequest{worker: worker}})
}

// Undrain ends a worker's drain and returns once its record is committed.
func (o *Owner) Undrain(ctx context.Context, worker cowslipbend.WorkerID) error {
	return o.call(ctx, event{drain: &drainRequest{worker: worker, undrain: true}})
}

// LimitPriorLeases records that all leases of earlier epochs have ended by the
// given time.
func (o *Owner) LimitPriorLeases(ctx context.Context, end cowslipbend.Time) error {
	return o.call(ctx, event{priorLeasesEnd: end})
}

// Leave gives up the pool, so that another entry can take it over at once.
func (o *Owner) Leave(ctx context.Context) error {
	return o.call(ctx, event{leave: true})
}

// View calls f with the committed state, in the goroutine of Run.
func (o *Owner) View(ctx context.Context, f func(*Engine)) error {
	return o.call(ctx, event{view: f})
}

func (o *Owner) call(ctx context.Context, ev event) error {
	ev.reply = make(chan error, 1)
	if !o.events.Put(ctx, ev) {
		return cowslipbend.Fail(cowslipbend.KindDown, "owner of pool "+string(o.pool)+" did not take the request: it is overloaded or has stopped", "try again")
	}
	select {
	case err := <-ev.reply:
		return err
	case <-o.done:
		return cowslipbend.Fail(cowslipbend.KindUnknown, "owner of pool "+string(o.pool)+" stopped before it replied", "repeat the request with the same id")
	case <-ctx.Done():
		return cowslipbend.Failf(cowslipbend.KindUnknown, ctx.Err(), "repeat the request with the same id", "owner of pool %s did not reply in time", o.pool)
	}
}

// Run executes rounds until the context ends, the pool is given up, or another
// owner takes it over. If a commit detects a takeover, Run returns KindConflict.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	defer o.events.Close()
	defer o.outbox.Close()
	defer o.leases.End()
	defer func() { _ = o.background.Wait() }()
	for {
		batch, ok := o.nextBatch(ctx)
		if !ok {
			return nil
		}
		givenUp, err := o.round(ctx, batch)
		if err != nil || givenUp {
			return err
		}
	}
}

// nextBatch waits for an event, a heartbeat or a tick and returns the queued
// events. It returns at once if the pool was idle; successive commits are
// minCommitInterval apart, so that each carries many events.
func (o *Owner) nextBatch(ctx context.Context) ([]event, bool) {
	var batch []event
	select {
	case <-ctx.Done():
		return nil, false
	case <-o.stopped:
		return nil, false
	case ev := <-o.events.Items():
		batch = append(batch, ev)
	case <-o.inbox.arrived:
	case <-o.clock.After(tickInterval):
	}
	if pause := o.committedAt.Add(minCommitInterval).Sub(o.clock.Now()); o.committedAt != 0 && pause > 0 {
		select {
		case <-ctx.Done():
			return nil, false
		case <-o.stopped:
			return nil, false
		case <-o.clock.After(pause):
		}
	}
	return append(batch, o.events.Drain(maxBatchEvents)...), true
}

// round processes a batch of events, decides, commits, and only then replies
// and sends orders. The engine's state is ahead of the journal only inside a
// round, during which no effect leaves the process. It reports whether the pool
// was given up.
func (o *Owner) round(ctx context.Context, batch []event) (givenUp bool, err error) {
	now, wall := o.clock.Now(), o.clock.Wall()
	for _, b := range o.inbox.beginRound(now) {
		batch = append(batch, event{heartbeat: b})
	}
	_, set := o.config.Set()
	o.engine.Declare(set)
	replies := make([]error, len(batch))
	var recs []cowslipbend.Record
	for i, ev := range batch {
		more, err := o.handle(ev, now, wall)
		replies[i] = err
		if err := o.engine.Apply(more); err != nil {
			return false, err
		}
		recs = append(recs, more...)
		givenUp = givenUp || ev.leave
	}
	decided := o.engine.Decide(now, wall)
	if err := o.engine.Apply(decided); err != nil {
		return false, err
	}
	recs = append(recs, decided...)
	drops := o.expiredJobs(now, wall, set)
	if err := o.engine.Apply(drops); err != nil {
		return false, err
	}
	if err := o.commit(ctx, append(recs, drops...), givenUp); err != nil {
		return false, err
	}
	o.inbox.close(o.engine, batch)
	o.reply(batch, replies)
	if givenUp {
		return true, nil
	}
	o.queueOrders(now)
	return false, o.snapshot(ctx)
}

// expiredJobs returns, every dropInterval, the records that drop jobs which
// ended long ago. Declared jobs stay, as their ids must not be submitted again.
func (o *Owner) expiredJobs(now, wall cowslipbend.Time, set *cowslipbend.Set) []cowslipbend.Record {
	if now.Sub(o.droppedAt) < dropInterval {
		return nil
	}
	o.droppedAt = now
	declared := map[cowslipbend.JobID]bool{}
	for i := range set.Jobs {
		declared[set.Jobs[i].ID] = true
	}
	return o.engine.State().ExpiryRecords(wall, declared, maxDroppedJobs)
}

func (o *Owner) handle(ev event, now, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	switch {
	case ev.heartbeat != nil:
		return o.engine.HandleHeartbeat(*ev.heartbeat, now, wall), nil
	case ev.submit != nil:
		return o.engine.Submit(*ev.submit, wall)
	case len(ev.cancel) > 0:
		return o.engine.Cancel(ev.cancel, wall)
	case ev.drain != nil && ev.drain.undrain:
		return o.engine.Undrain(ev.drain.worker, wall)
	case ev.drain != nil:
		return o.engine.Drain(ev.drain.worker, wall)
	case ev.refusals != nil:
		var recs []cowslipbend.Record
		for _, r := range ev.refusals.list {
			recs = append(recs, o.engine.HandleRefusal(ev.refusals.worker, r.Task, r.Attempt, r.Reason, wall)...)
		}
		return recs, nil
	}
	return nil, nil
}

// commit writes the records and changes of the head, retrying while the store
// is not available. It does nothing if there is nothing to write.
func (o *Owner) commit(ctx context.Context, recs []cowslipbend.Record, givenUp bool) error {
	var changes []journaler.Change
	if list, changed := o.changedWitnesses(); changed {
		changes = append(changes, func(h *journaler.Head) { h.Witnesses = list })
	}
	if givenUp {
		changes = append(changes, func(h *journaler.Head) { h.GivenUp = true })
	}
	if len(recs)+len(changes) == 0 {
		return nil
	}
	b, err := o.journal.Prepare(recs, changes...)
	if err != nil {
		return err
	}
	defer func() { o.committedAt = o.clock.Now() }()
	for {
		sentAt := o.clock.Now()
		err := o.journal.Commit(ctx, b)
		switch cowslipbend.KindOf(err) {
		case "":
			o.leases.Confirm(sentAt)
			return nil
		case cowslipbend.KindDown, cowslipbend.KindUnknown:
			o.log.Warn("journal commit failed; trying again", "pool", o.pool, "error", err)
		default:
			return err
		}
		select {
		case <-ctx.Done():
			return cowslipbend.Fail(cowslipbend.KindLeaving, "owner stopped before its commit was stored", "wait for the next owner of the pool")
		case <-o.stopped:
			return cowslipbend.Fail(cowslipbend.KindConflict, "a newer epoch of the pool has begun", "the new owner serves the pool")
		case <-o.clock.After(storeRetryInterval):
		}
	}
}

// snapshot writes the state to the object store, concurrently with commits,
// when the journal is due for a snapshot.
func (o *Owner) snapshot(ctx context.Context) error {
	if !o.journal.SnapshotDue() {
		return nil
	}
	write, err := o.journal.Snapshot(o.engine.State())
	if err != nil {
		return err
	}
	o.background.Go(func() error {
		if err := write(ctx); err != nil {
			o.log.Warn("journal snapshot was not written", "pool", o.pool, "error", err)
		}
		return nil
	})
	return nil
}

// reply answers the events of a committed batch.
func (o *Owner) reply(batch []event, replies []error) {
	for i, ev := range batch {
		if ev.view != nil {
			ev.view(o.engine)
		}
		if ev.priorLeasesEnd != 0 {
			// This takes effect in the next round, which bars the workers that it
			// may mark silent from leases before it decides.
			o.engine.LimitPriorLeases(ev.priorLeasesEnd)
			o.inbox.limitPriorLeases(ev.priorLeasesEnd)
		}
		if ev.reply != nil {
			ev.reply <- replies[i]
		}
	}
}

func (o *Owner) queueOrders(now cowslipbend.Time) {
	byWorker := o.engine.Orders(now, o.Epoch())
	for _, worker := range slices.Sorted(maps.Keys(byWorker)) {
		orders := byWorker[worker]
		orders.HeartbeatSentAt = o.inbox.heartbeatSentAt(worker)
		o.outbox.Offer(delivery{worker, orders})
	}
}
