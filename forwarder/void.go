package forwarder

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/internal/control"
)

// maxVoidWait bounds how long Void waits for the end of a request.
const maxVoidWait = 10 * cowslipbend.Second

// Void returns the state of a request, and its answer if that is kept. A request
// that the gate has no record of is voided: it will not run any more. If the
// request is running, Void waits for its end for up to r.Wait, at most
// maxVoidWait.
func Void(ctx context.Context, gate *admitter.Gate, clock cowslipbend.Clock, r *control.VoidRequest) (*control.VoidReply, error) {
	if err := cowslipbend.CheckName("request", r.GetRequest()); err != nil {
		return nil, err
	}
	q := admitter.Query{
		ID: cowslipbend.RequestID(r.GetRequest()), Life: cowslipbend.Incarnation(r.GetLife()),
		Token: cowslipbend.Time(r.GetToken()), NonIdempotent: r.GetOnce(), Cancel: r.GetCancel(),
	}
	state, answer := gate.Void(q)
	if wait := min(cowslipbend.Span(r.GetWait()), maxVoidWait); state == admitter.Running && wait > 0 {
		select {
		case <-gate.Ended(q.ID):
		case <-clock.After(wait):
		case <-ctx.Done():
		}
		state, answer = gate.Void(q)
	}
	reply := &control.VoidReply{State: string(state)}
	if state == admitter.Done {
		reply.Status = int32(answer.Status)
		reply.Body = answer.Body
		for name, values := range answer.Header {
			if strippedHeaders[name] {
				continue
			}
			for _, v := range values {
				reply.Header = append(reply.Header, &control.Header{Name: name, Value: v})
			}
		}
	}
	return reply, nil
}
