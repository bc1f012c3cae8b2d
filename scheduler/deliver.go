package scheduler

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// delivery is a set of orders for one worker's agent.
type delivery struct {
	worker cowslipbend.WorkerID
	orders *Orders
}

// Bounds of order delivery.
const (
	outboxCapacity = 4096
	// maxSends is the number of agents that receive orders concurrently.
	maxSends = 64
	// maxQueued is the number of deliveries queued for one agent. Deliveries
	// beyond it are dropped; the engine orders again after ResendInterval.
	maxQueued = 4
)

// dispatcher sends deliveries: those for one agent in order, those for
// different agents concurrently, so that a slow agent delays no other.
type dispatcher struct {
	owner *Owner
	group errgroup.Group

	mu sync.Mutex
	// queues has an entry for each agent with a delivery in progress.
	queues map[cowslipbend.WorkerID][]delivery
}

// Deliver sends orders until Run has returned. It runs concurrently with Run.
func (o *Owner) Deliver(ctx context.Context) error {
	d := &dispatcher{owner: o, queues: map[cowslipbend.WorkerID][]delivery{}}
	d.group.SetLimit(maxSends)
	defer func() { _ = d.group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.done:
			return nil
		case p := <-o.outbox.Items():
			d.enqueue(ctx, p)
		}
	}
}

// enqueue starts a delivery, or queues it behind the agent's current one.
func (d *dispatcher) enqueue(ctx context.Context, p delivery) {
	d.mu.Lock()
	queue, busy := d.queues[p.worker]
	if busy && len(queue) < maxQueued {
		queue = append(queue, p)
	}
	d.queues[p.worker] = queue
	d.mu.Unlock()
	if busy {
		return
	}
	d.group.Go(func() error {
		for more := true; more; p, more = d.next(p.worker) {
			d.owner.send(ctx, p)
		}
		return nil
	})
}

// next returns the agent's next queued delivery, if any.
func (d *dispatcher) next(worker cowslipbend.WorkerID) (delivery, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queues[worker]
	if len(queue) == 0 {
		delete(d.queues, worker)
		return delivery{worker: worker}, false
	}
	d.queues[worker] = queue[1:]
	return queue[0], true
}

func (o *Owner) send(ctx context.Context, p delivery) {
	list, err := o.sender.Send(ctx, p.worker, o.pool, o.Epoch(), p.orders)
	if err != nil {
		o.log.Info("orders were not delivered to the agent; sending them again", "worker", p.worker, "error", err)
		return
	}
	if len(list) > 0 {
		o.events.Offer(event{refusals: &refusals{p.worker, list}})
	}
}
