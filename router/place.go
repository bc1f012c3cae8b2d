package router

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/tracker"
)

// place chooses a target and counts the request there; the caller ends it.
// While none has room, the request waits in the queue of its service. Every
// error is a certain refusal.
func (r *Router) place(ctx context.Context, req *Request, tried *tries) (*tracker.Target, error) {
	q := r.queue(req.Service)
	if req.Watch || q.empty() {
		t, room := r.pick(req, tried)
		switch {
		case t == nil:
			return nil, nowhere(req.Service)
		case room:
			t.Begin(req.Watch)
			return t, nil
		case req.Watch:
			return nil, full("all connections for watches are taken", cowslipbend.Second)
		}
	}
	if err := r.wait(ctx, req, q); err != nil {
		return nil, err
	}
	defer q.sent()
	t, _ := r.pick(req, tried)
	if t == nil {
		return nil, nowhere(req.Service)
	}
	t.Begin(req.Watch)
	return t, nil
}

// end counts the end of a request at its target, and lets the next one that
// waits through.
func (r *Router) end(t *tracker.Target, res tracker.Result) {
	t.End(res)
	r.queue(t.Service).grant(func() int { return r.free(t.Service) })
}

// unsent takes back what place has counted.
func (r *Router) unsent(t *tracker.Target, req *Request) {
	r.end(t, tracker.Result{Watch: req.Watch, Void: true})
}

func nowhere(service cowslipbend.ServiceID) error {
	return notRun(&cowslipbend.Error{
		Kind: cowslipbend.KindBusy, What: "no endpoint of service " + string(service) + " takes requests",
		Remedy: "try again later", After: cowslipbend.Second,
	})
}

// pick asks the policy, and whether the chosen target has room. If it has
// none, the first target that does is taken instead.
func (r *Router) pick(req *Request, tried *tries) (t *tracker.Target, room bool) {
	targets := r.tracker.Targets(req.Service)
	now := r.clock.Now()
	at := func(i int) cowslipbend.Candidate {
		c := targets[i].Candidate(now, req.Watch)
		c.Tried = c.Tried || tried.has(targets[i])
		return c
	}
	i := r.policy.Pick(len(targets), at, r.opts.Random)
	if i < 0 {
		return nil, false
	}
	if c := at(i); c.Inflight < c.Slots {
		return targets[i], true
	}
	for k := range targets {
		j := (i + k) % len(targets)
		if c := at(j); !c.Tried && !c.Ejected && c.Inflight < c.Slots {
			return targets[j], true
		}
	}
	return targets[i], false
}

// queue returns the queue of a service.
func (r *Router) queue(service cowslipbend.ServiceID) *queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queues[service]
	if !ok {
		q = &queue{}
		r.queues[service] = q
	}
	return q
}

// wait waits for room at the service's endpoints.
func (r *Router) wait(ctx context.Context, req *Request, q *queue) error {
	limit := req.Queue
	if limit == 0 {
		limit = r.opts.Queue
	}
	left := r.opts.Patience
	if own := remaining(ctx); own > 0 {
		left = min(left, own)
	}
	return q.wait(ctx, r.clock, ticket{
		team: req.Team, limit: limit, left: left, pace: r.pace(req.Service),
		free: func() int { return r.free(req.Service) },
	})
}

// free counts the slots that are free, as far as is known.
func (r *Router) free(service cowslipbend.ServiceID) int {
	n := 0
	now := r.clock.Now()
	for _, t := range r.tracker.Targets(service) {
		if c := t.Candidate(now, false); !c.Tried && !c.Ejected {
			n += max(c.Slots-c.Inflight, 0)
		}
	}
	return n
}

// pace returns the microseconds between two ends of requests of a service
// whose slots are all taken.
func (r *Router) pace(service cowslipbend.ServiceID) int64 {
	slots, sum, n := int64(0), int64(0), int64(0)
	now := r.clock.Now()
	for _, t := range r.tracker.Targets(service) {
		c := t.Candidate(now, false)
		slots += int64(c.Slots)
		sum += c.Latency
		n++
	}
	if n == 0 || slots == 0 {
		return 0
	}
	return sum / n / slots
}
