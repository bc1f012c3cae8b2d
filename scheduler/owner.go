package scheduler

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
)

// Sender tells agents what to do. It returns the attempts that the agent
// refused for certain; an error means that nothing is known.
type Sender interface {
	Send(ctx context.Context, worker cowslipbend.WorkerID, pool cowslipbend.PoolID, epoch cowslipbend.Epoch, o *Orders) ([]Refusal, error)
}

// Refusal is an attempt that an agent refused for certain.
type Refusal struct {
	Ref
	Reason string
}

// Config tells the set in force.
type Config interface {
	Set() (cowslipbend.Revision, *cowslipbend.Set)
}

// Sizes and times of an owner.
const (
	eventRing = 4096
	maxBatch  = 1000 // events in one commit
	tick      = 200 * cowslipbend.Millisecond
	busyPause = 100 * cowslipbend.Millisecond // between commits when busy
	storeWait = 500 * cowslipbend.Millisecond // between tries while the store is out
	maxDrops  = 100                           // ended jobs dropped by one commit
	dropEvery = 10 * cowslipbend.Second
)

// event is one thing for the owner's loop: exactly one of the fields before reply is
// set.
type event struct {
	beat    *Beat
	submit  *cowslipbend.Job
	cancel  []cowslipbend.JobID
	drain   *draining
	refused *refused
	view    func(*Engine)
	// safe is when all leases of earlier epochs have lapsed.
	safe  cowslipbend.Time
	leave bool
	reply chan error
}

// draining asks to empty a worker, or to give it back.
type draining struct {
	worker cowslipbend.WorkerID
	back   bool
}

type refused struct {
	worker cowslipbend.WorkerID
	list   []Refusal
}

// Owner runs a pool for one epoch.
type Owner struct {
	pool    cowslipbend.PoolID
	journal *journaler.Journal
	engine  *Engine
	leases  *leaser.Leaser
	sender  Sender
	config  Config
	clock   cowslipbend.Clock
	log     hclog.Logger
	events  *ring.Ring[event]
	outbox  *ring.Ring[parcel]
	epoch   cowslipbend.Epoch
	members Members
	desk    *desk
	ended   chan struct{}
	end     sync.Once
	work    errgroup.Group
	done    chan struct{}

	// committed and dropped are when the last commit ended and when ended jobs
	// were last looked for.
	committed cowslipbend.Time
	dropped   cowslipbend.Time
}

// NewOwner returns the owner of a taken journal.
func NewOwner(pool cowslipbend.PoolID, j *journaler.Journal, e *Engine, l *leaser.Leaser, m Members, s Sender, c Config, clock cowslipbend.Clock, log hclog.Logger) *Owner {
	return &Owner{
		pool: pool, journal: j, engine: e, leases: l, members: m, sender: s, config: c, clock: clock, log: log,
		events: ring.New[event](eventRing), outbox: ring.New[parcel](outboxRing), desk: newDesk(e),
		epoch: j.Head().Epoch, ended: make(chan struct{}), done: make(chan struct{}),
	}
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() cowslipbend.Epoch { return o.epoch }

// End stops the owner because its epoch is over. It grants no lease any more.
func (o *Owner) End() {
	o.leases.End()
	o.end.Do(func() { close(o.ended) })
}

// Done is closed when Run has returned.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Beat takes a heartbeat and returns the lease and the acknowledgements for
// its reply. It never waits.
func (o *Owner) Beat(b Beat) (cowslipbend.Span, []Ref) {
	return o.desk.beat(b, o.leases, o.clock)
}

// Submit accepts a job once its record is committed.
func (o *Owner) Submit(ctx context.Context, job cowslipbend.Job) error {
	return o.ask(ctx, event{submit: &job})
}

// Cancel cancels a wave of jobs once its one record is committed.
func (o *Owner) Cancel(ctx context.Context, ids ...cowslipbend.JobID) error {
	return o.ask(ctx, event{cancel: ids})
}

// Drain has a worker emptied once its record is committed.
func (o *Owner) Drain(ctx context.Context, worker cowslipbend.WorkerID) error {
	return o.ask(ctx, event{drain: &draining{worker: worker}})
}

// Undrain gives a worker back once its record is committed.
func (o *Owner) Undrain(ctx context.Context, worker cowslipbend.WorkerID) error {
	return o.ask(ctx, event{drain: &draining{worker: worker, back: true}})
}

// Settle tells when all leases of earlier epochs have lapsed.
func (o *Owner) Settle(ctx context.Context, safe cowslipbend.Time) error {
	return o.ask(ctx, event{safe: safe})
}

// Leave gives the pool up, so that another entry takes it at once.
func (o *Owner) Leave(ctx context.Context) error {
	return o.ask(ctx, event{leave: true})
}

// View calls f with the committed state, in the owner's thread.
func (o *Owner) View(ctx context.Context, f func(*Engine)) error {
	return o.ask(ctx, event{view: f})
}

func (o *Owner) ask(ctx context.Context, ev event) error {
	ev.reply = make(chan error, 1)
	if !o.events.Put(ctx, ev) {
		return cowslipbend.Fail(cowslipbend.KindDown, "owner of pool "+string(o.pool)+" is busy or gone", "try again")
	}
	select {
	case err := <-ev.reply:
		return err
	case <-o.done:
		return cowslipbend.Fail(cowslipbend.KindUnknown, "owner of pool "+string(o.pool)+" stepped down", "repeat it with the same id")
	case <-ctx.Done():
		return cowslipbend.Failf(cowslipbend.KindUnknown, ctx.Err(), "repeat it with the same id", "owner of pool %s gave no answer in time", o.pool)
	}
}

// Run decides until the context ends, the pool is left, or another owner
// takes it; the last returns KindConflict.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	defer o.events.Close()
	defer o.outbox.Close()
	defer o.leases.End()
	defer func() { _ = o.work.Wait() }()
	for {
		batch, ok := o.gather(ctx)
		if !ok {
			return nil
		}
		left, err := o.round(ctx, batch)
		if err != nil || left {
			return err
		}
	}
}

// gather waits for an event or a tick and returns what is there. When the
// pool was idle it returns at once; commits that follow each other are
// busyPause apart, so that each carries many events.
func (o *Owner) gather(ctx context.Context) ([]event, bool) {
	var batch []event
	select {
	case <-ctx.Done():
		return nil, false
	case <-o.ended:
		return nil, false
	case ev := <-o.events.Items():
		batch = append(batch, ev)
	case <-o.desk.mailed:
	case <-o.clock.After(tick):
	}
	if pause := o.committed.Add(busyPause).Sub(o.clock.Now()); o.committed != 0 && pause > 0 {
		select {
		case <-ctx.Done():
			return nil, false
		case <-o.ended:
			return nil, false
		case <-o.clock.After(pause):
		}
	}
	return append(batch, o.events.Drain(maxBatch)...), true
}

// round decides on a batch of events, commits, and then lets the effects out.
// The engine's state runs ahead of the journal only inside a round, during
// which nothing leaves this process. It reports whether the pool was left.
func (o *Owner) round(ctx context.Context, batch []event) (left bool, err error) {
	now, wall := o.clock.Now(), o.clock.Wall()
	for _, b := range o.desk.open(now) {
		batch = append(batch, event{beat: b})
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
		left = left || ev.leave
	}
	decided := o.engine.Decide(now, wall)
	if err := o.engine.Apply(decided); err != nil {
		return false, err
	}
	recs = append(recs, decided...)
	drops := o.drops(now, wall, set)
	if err := o.engine.Apply(drops); err != nil {
		return false, err
	}
	if err := o.commit(ctx, append(recs, drops...), left); err != nil {
		return false, err
	}
	o.desk.close(o.engine, batch)
	o.release(batch, replies)
	if left {
		return true, nil
	}
	o.order(now)
	return false, o.snapshot(ctx)
}

// drops returns the records that drop long-ended jobs, now and then. Declared
// jobs stay, as their ids must not be submitted again.
func (o *Owner) drops(now, wall cowslipbend.Time, set *cowslipbend.Set) []cowslipbend.Record {
	if now.Sub(o.dropped) < dropEvery {
		return nil
	}
	o.dropped = now
	declared := map[cowslipbend.JobID]bool{}
	for i := range set.Jobs {
		declared[set.Jobs[i].ID] = true
	}
	return o.engine.State().Expired(wall, declared, maxDrops)
}

func (o *Owner) handle(ev event, now, wall cowslipbend.Time) ([]cowslipbend.Record, error) {
	switch {
	case ev.beat != nil:
		return o.engine.Beat(*ev.beat, now, wall), nil
	case ev.submit != nil:
		return o.engine.Submit(*ev.submit, wall)
	case len(ev.cancel) > 0:
		return o.engine.Cancel(ev.cancel, wall)
	case ev.drain != nil && ev.drain.back:
		return o.engine.Undrain(ev.drain.worker, wall)
	case ev.drain != nil:
		return o.engine.Drain(ev.drain.worker, wall)
	case ev.refused != nil:
		var recs []cowslipbend.Record
		for _, r := range ev.refused.list {
			recs = append(recs, o.engine.Refused(ev.refused.worker, r.Task, r.Attempt, r.Reason, wall)...)
		}
		return recs, nil
	}
	return nil, nil
}

// commit writes the records and changes of the head, waiting out the store.
// With nothing to write it does nothing.
func (o *Owner) commit(ctx context.Context, recs []cowslipbend.Record, left bool) error {
	var changes []journaler.Change
	if list, changed := o.watchers(); changed {
		changes = append(changes, func(h *journaler.Head) { h.Witnesses = list })
	}
	if left {
		changes = append(changes, func(h *journaler.Head) { h.Left = true })
	}
	if len(recs)+len(changes) == 0 {
		return nil
	}
	b, err := o.journal.Prepare(recs, changes...)
	if err != nil {
		return err
	}
	defer func() { o.committed = o.clock.Now() }()
	for {
		began := o.clock.Now()
		err := o.journal.Commit(ctx, b)
		switch cowslipbend.KindOf(err) {
		case "":
			o.leases.Confirm(began)
			return nil
		case cowslipbend.KindDown, cowslipbend.KindUnknown:
			o.log.Warn("commit waits for the store", "pool", o.pool, "error", err)
		default:
			return err
		}
		select {
		case <-ctx.Done():
			return cowslipbend.Fail(cowslipbend.KindLeaving, "owner stopped before its commit", "the next owner goes on")
		case <-o.ended:
			return cowslipbend.Fail(cowslipbend.KindConflict, "another epoch has begun", "step down")
		case <-o.clock.After(storeWait):
		}
	}
}

// snapshot writes the state to the object store beside the commits when
// enough rows have gathered.
func (o *Owner) snapshot(ctx context.Context) error {
	if !o.journal.Due() {
		return nil
	}
	write, err := o.journal.Snapshot(o.engine.State())
	if err != nil {
		return err
	}
	o.work.Go(func() error {
		if err := write(ctx); err != nil {
			o.log.Warn("snapshot was not written", "pool", o.pool, "error", err)
		}
		return nil
	})
	return nil
}

// release answers the events of a committed batch.
func (o *Owner) release(batch []event, replies []error) {
	for i, ev := range batch {
		if ev.view != nil {
			ev.view(o.engine)
		}
		if ev.safe != 0 {
			// This holds from the next round on, which bars the workers that it
			// may count as lost before it decides.
			o.engine.Settle(ev.safe)
			o.desk.settle(ev.safe)
		}
		if ev.reply != nil {
			ev.reply <- replies[i]
		}
	}
}

func (o *Owner) order(now cowslipbend.Time) {
	for worker, orders := range o.engine.Orders(now, o.Epoch()) {
		orders.Token = o.desk.token(worker)
		o.outbox.Offer(parcel{worker, orders})
	}
}
