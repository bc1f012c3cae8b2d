package scheduler

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/ring"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/timer"
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
	reply   chan error
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
	ended   chan struct{}
	end     sync.Once
	done    chan struct{}

	mu   sync.Mutex
	acks map[cowslipbend.WorkerID][]Ref
}

// parcel is the orders for one worker.
type parcel struct {
	worker cowslipbend.WorkerID
	orders *Orders
}

// outboxRing is the room for orders that wait to be sent.
const outboxRing = 4096

// NewOwner returns the owner of a taken journal.
func NewOwner(pool cowslipbend.PoolID, j *journaler.Journal, e *Engine, l *leaser.Leaser, s Sender, c Config, clock cowslipbend.Clock, log hclog.Logger) *Owner {
	return &Owner{
		pool: pool, journal: j, engine: e, leases: l, sender: s, config: c, clock: clock, log: log,
		events: ring.New[event](eventRing), outbox: ring.New[parcel](outboxRing),
		epoch: j.Head().Epoch, ended: make(chan struct{}), done: make(chan struct{}), acks: map[cowslipbend.WorkerID][]Ref{},
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
	lease := o.leases.Grant()
	b.Lapse = o.clock.Now().Add(lease)
	o.events.Offer(event{beat: &b})
	o.mu.Lock()
	defer o.mu.Unlock()
	acks := o.acks[b.Worker.ID]
	delete(o.acks, b.Worker.ID)
	return lease, acks
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

// Run decides until the context ends or another owner takes the pool; the
// latter returns KindConflict.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	defer o.events.Close()
	defer o.outbox.Close()
	defer o.leases.End()
	for {
		batch, ok := o.gather(ctx)
		if !ok {
			return nil
		}
		if err := o.round(ctx, batch); err != nil {
			return err
		}
	}
}

// gather waits for an event or a tick and returns what is there.
func (o *Owner) gather(ctx context.Context) ([]event, bool) {
	var batch []event
	select {
	case <-ctx.Done():
		return nil, false
	case <-o.ended:
		return nil, false
	case ev := <-o.events.Items():
		batch = append(batch, ev)
	case <-o.clock.After(tick):
	}
	return append(batch, o.events.Drain(maxBatch)...), true
}

// round decides on a batch of events, commits, and then lets the effects out.
// The engine's state runs ahead of the journal only inside a round, during
// which nothing leaves this process.
func (o *Owner) round(ctx context.Context, batch []event) error {
	now, wall := o.clock.Now(), o.clock.Wall()
	_, set := o.config.Set()
	o.engine.Declare(set)
	replies := make([]error, len(batch))
	var recs []cowslipbend.Record
	for i, ev := range batch {
		more, err := o.handle(ev, now, wall)
		replies[i] = err
		if err := o.engine.Apply(more); err != nil {
			return err
		}
		recs = append(recs, more...)
	}
	decided := o.engine.Decide(now, wall)
	if err := o.engine.Apply(decided); err != nil {
		return err
	}
	recs = append(recs, decided...)
	if len(recs) > 0 {
		if err := o.commit(ctx, recs); err != nil {
			return err
		}
	}
	o.release(batch, replies)
	o.order(now)
	if len(recs) > 0 && !timer.Sleep(ctx, o.clock, busyPause) {
		return nil
	}
	return nil
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

// commit writes the records, waiting out the store.
func (o *Owner) commit(ctx context.Context, recs []cowslipbend.Record) error {
	for {
		began := o.clock.Now()
		err := o.journal.Commit(ctx, recs)
		switch cowslipbend.KindOf(err) {
		case "":
			o.leases.Confirm(began)
			return nil
		case cowslipbend.KindDown, cowslipbend.KindUnknown:
			o.log.Warn("commit waits for the store", "pool", o.pool, "error", err)
		default:
			return err
		}
		if !timer.Sleep(ctx, o.clock, storeWait) {
			return cowslipbend.Fail(cowslipbend.KindLeaving, "owner stopped before its commit", "the next owner goes on")
		}
	}
}

// release answers the events of a committed batch.
func (o *Owner) release(batch []event, replies []error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, ev := range batch {
		if ev.view != nil {
			ev.view(o.engine)
		}
		if ev.reply != nil {
			ev.reply <- replies[i]
		}
		if ev.beat == nil {
			continue
		}
		for _, r := range ev.beat.Reports {
			id := ev.beat.Worker.ID
			o.acks[id] = append(o.acks[id], Ref{r.Task, r.Attempt})
		}
	}
}

func (o *Owner) order(now cowslipbend.Time) {
	for worker, orders := range o.engine.Orders(now, o.Epoch()) {
		o.outbox.Offer(parcel{worker, orders})
	}
}

// Deliver sends orders until the owner is done. It runs beside Run.
func (o *Owner) Deliver(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.done:
			return nil
		case p := <-o.outbox.Items():
			o.deliver(ctx, p)
		}
	}
}

func (o *Owner) deliver(ctx context.Context, p parcel) {
	list, err := o.sender.Send(ctx, p.worker, o.pool, o.Epoch(), p.orders)
	if err != nil {
		o.log.Info("orders were not delivered", "worker", p.worker, "error", err)
		return
	}
	if len(list) > 0 {
		o.events.Offer(event{refused: &refused{p.worker, list}})
	}
}
