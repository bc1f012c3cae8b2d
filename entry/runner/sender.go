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

// sender carries orders to agents.
type sender struct{ entry *Entry }

// Send tells the agent of a worker its orders.
func (s *sender) Send(ctx context.Context, worker cowslipbend.WorkerID, pool cowslipbend.PoolID, epoch cowslipbend.Epoch, o *scheduler.Orders) ([]scheduler.Refusal, error) {
	a := s.entry.track.Agent(worker)
	if a == nil {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no heartbeat of worker "+string(worker), "wait for it")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	reply, err := control.NewAgentProtobufClient(a.URL, s.entry.http).Order(ctx, request(pool, epoch, a, o))
	if err != nil {
		return nil, control.FromTwirp(err)
	}
	list := make([]scheduler.Refusal, 0, len(reply.GetRefused()))
	for _, r := range reply.GetRefused() {
		ref := scheduler.Ref{Task: cowslipbend.TaskID(r.GetTask()), Attempt: cowslipbend.Attempt(r.GetAttempt())}
		list = append(list, scheduler.Refusal{Ref: ref, Reason: r.GetReason()})
	}
	return list, nil
}

func request(pool cowslipbend.PoolID, epoch cowslipbend.Epoch, a *tracker.Agent, o *scheduler.Orders) *control.OrderRequest {
	r := &control.OrderRequest{Pool: string(pool), Epoch: int64(epoch), Life: string(a.Life), Token: int64(o.Token)}
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
