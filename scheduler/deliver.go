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
	c := &dispatcher{owner: o, queues: map[cowslipbend.WorkerID][]delivery{}}
	c.group.SetLimit(maxSends)
	defer func() { _ = c.group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.done:
			return nil
		case p := <-o.outbox.Items():
			c.enqueue(ctx, p)
		}
	}
}

// enqueue starts a delivery, or queues it behind the agent's current one.
func (c *dispatcher) enqueue(ctx context.Context, p delivery) {
	c.mu.Lock()
	queue, busy := c.queues[p.worker]
	if busy && len(queue) < maxQueued {
		queue = append(queue, p)
	}
	c.queues[p.worker] = queue
	c.mu.Unlock()
	if busy {
		return
	}
	c.group.Go(func() error {
		for more := true; more; p, more = c.next(p.worker) {
			c.owner.send(ctx, p)
		}
		return nil
	})
}

// next returns the agent's next queued delivery, if any.
func (c *dispatcher) next(worker cowslipbend.WorkerID) (delivery, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[worker]
	if len(queue) == 0 {
		delete(c.queues, worker)
		return delivery{worker: worker}, false
	}
	c.queues[worker] = queue[1:]
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
