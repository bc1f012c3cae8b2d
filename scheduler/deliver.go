package scheduler

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// parcel is the orders for one worker.
type parcel struct {
	worker cowslipbend.WorkerID
	orders *Orders
}

// Bounds of the delivery of orders.
const (
	outboxRing = 4096
	// senders is the count of agents that are told something at once.
	senders = 64
	// backlog is the count of parcels that wait for one agent; the engine
	// repeats what is dropped.
	backlog = 4
)

// courier delivers parcels: those for one agent in their order, those for
// different agents side by side, so that a slow agent holds up no other.
type courier struct {
	owner *Owner
	group errgroup.Group

	mu sync.Mutex
	// queues has an entry for each agent that is being told something.
	queues map[cowslipbend.WorkerID][]parcel
}

// Deliver sends orders until the owner is done. It runs beside Run.
func (o *Owner) Deliver(ctx context.Context) error {
	c := &courier{owner: o, queues: map[cowslipbend.WorkerID][]parcel{}}
	c.group.SetLimit(senders)
	defer func() { _ = c.group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.done:
			return nil
		case p := <-o.outbox.Items():
			c.take(ctx, p)
		}
	}
}

// take delivers a parcel, or queues it behind the one on its way.
func (c *courier) take(ctx context.Context, p parcel) {
	c.mu.Lock()
	queue, busy := c.queues[p.worker]
	if busy && len(queue) < backlog {
		queue = append(queue, p)
	}
	c.queues[p.worker] = queue
	c.mu.Unlock()
	if busy {
		return
	}
	c.group.Go(func() error {
		for more := true; more; p, more = c.next(p.worker) {
			c.owner.deliver(ctx, p)
		}
		return nil
	})
}

// next returns the parcel that waits for the agent, if there is one.
func (c *courier) next(worker cowslipbend.WorkerID) (parcel, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[worker]
	if len(queue) == 0 {
		delete(c.queues, worker)
		return parcel{worker: worker}, false
	}
	c.queues[worker] = queue[1:]
	return queue[0], true
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
