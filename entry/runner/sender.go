package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/scheduler"
	"cowslipbend.dev/tracker"
)

// orderTimeout bounds one delivery of orders.
const orderTimeout = 2 * cowslipbend.Second

// orderSender delivers orders of pool owners to agents.
type orderSender struct{ entry *Entry }

// Send delivers the orders to the agent of a worker and returns those that the
// agent refused.
func (s *orderSender) Send(ctx context.Context, worker cowslipbend.WorkerID, pool cowslipbend.PoolID, epoch cowslipbend.Epoch, o *scheduler.Orders) ([]scheduler.Refusal, error) {
	a := s.entry.tracker.Agent(worker)
	if a == nil {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no heartbeat received from worker "+string(worker), "wait for its next heartbeat")
	}
	if s.entry.domains.Has(a.Domain) {
		o = o.Withdrawn()
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	reply, err := control.NewAgentProtobufClient(a.URL, s.entry.http).Order(ctx, toOrderRequest(pool, epoch, a, o))
	if err != nil {
		return nil, control.FromTwirp(err)
	}
	refusals := make([]scheduler.Refusal, 0, len(reply.GetRefused()))
	for _, r := range reply.GetRefused() {
		ref := scheduler.Ref{Task: cowslipbend.TaskID(r.GetTask()), Attempt: cowslipbend.Attempt(r.GetAttempt())}
		refusals = append(refusals, scheduler.Refusal{Ref: ref, Reason: r.GetReason()})
	}
	return refusals, nil
}

func toOrderRequest(pool cowslipbend.PoolID, epoch cowslipbend.Epoch, a *tracker.Agent, o *scheduler.Orders) *control.OrderRequest {
	r := &control.OrderRequest{Pool: string(pool), Epoch: int64(epoch), Life: string(a.Life), Token: int64(o.HeartbeatSentAt)}
	for _, st := range o.Starts {
		r.Starts = append(r.Starts, control.FromStart(st))
	}
	for _, ref := range o.Evicts {
		r.Evicts = append(r.Evicts, &control.Ack{Task: string(ref.Task), Attempt: int64(ref.Attempt)})
	}
	for _, ref := range o.Stops {
		r.Stops = append(r.Stops, &control.Ack{Task: string(ref.Task), Attempt: int64(ref.Attempt)})
	}
	return r
}
