package router

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/tracker"
)

// reserve chooses a target and reserves a slot or connection there, which the
// caller ends with release or cancelReservation. While no target has a free
// slot, the request waits in the queue of its service. An error means that the
// request has not run.
func (r *Router) reserve(ctx context.Context, req *Request, failed *failedAttempts) (*tracker.Target, error) {
	q := r.queue(req.Service)
	if req.Watch || q.empty() {
		t, hasRoom := r.pickTarget(req, failed)
		switch {
		case t == nil:
			return nil, noEndpoint(req.Service)
		case hasRoom:
			t.Begin(req.Watch)
			return t, nil
		case req.Watch:
			return nil, busyError("all connections for watches are in use", cowslipbend.Second)
		}
	}
	if err := r.waitForSlot(ctx, req, q); err != nil {
		return nil, err
	}
	defer q.releaseGrant()
	t, _ := r.pickTarget(req, failed)
	if t == nil {
		return nil, noEndpoint(req.Service)
	}
	t.Begin(req.Watch)
	return t, nil
}

// isOut reports whether the target is in a failure domain that is out of service.
func (r *Router) isOut(t *tracker.Target) bool {
	return r.opts.DomainOut != nil && r.opts.DomainOut(t.Agent.Domain)
}

// release ends a reservation, records the result of its request at the target,
// and grants free slots to waiting requests.
func (r *Router) release(t *tracker.Target, res tracker.Result) {
	t.End(res)
	r.queue(t.Service).grantSlots(func() int { return r.freeSlots(t.Service) })
}

// cancelReservation ends a reservation that was not used.
func (r *Router) cancelReservation(t *tracker.Target, req *Request) {
	r.release(t, tracker.Result{Watch: req.Watch, Unmeasured: true})
}

func noEndpoint(service cowslipbend.ServiceID) error {
	return notRun(&cowslipbend.Error{
		Kind: cowslipbend.KindBusy, What: "no endpoint of service " + string(service) + " takes requests",
		Remedy: "try again later", After: cowslipbend.Second,
	})
}

// pickTarget returns the target that the policy chooses, or the next one with
// a free slot if the chosen one has none. It returns the chosen target without
// hasRoom if all are full, and nil if the policy chooses none.
func (r *Router) pickTarget(req *Request, failed *failedAttempts) (t *tracker.Target, hasRoom bool) {
	targets := r.tracker.Targets(req.Service)
	now := r.clock.Now()
	candidate := func(i int) cowslipbend.Candidate {
		c := targets[i].Candidate(now, req.Watch)
		c.Excluded = c.Excluded || failed.excludes(targets[i]) || r.isOut(targets[i])
		return c
	}
	i := r.policy.Pick(len(targets), candidate, r.opts.Random)
	if i < 0 {
		return nil, false
	}
	if c := candidate(i); c.Inflight < c.Slots {
		return targets[i], true
	}
	for k := range targets {
		j := (i + k) % len(targets)
		if c := candidate(j); !c.Excluded && !c.Ejected && c.Inflight < c.Slots {
			return targets[j], true
		}
	}
	return targets[i], false
}

// queue returns the queue of a service, and creates it if there is none.
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

// waitForSlot waits in the queue of the service until a slot is free.
func (r *Router) waitForSlot(ctx context.Context, req *Request, q *queue) error {
	limit := req.QueueLimit
	if limit == 0 {
		limit = r.opts.QueueLimit
	}
	timeout := r.opts.QueueTimeout
	if callerTimeout := timeLeft(ctx); callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	return q.wait(ctx, r.clock, slotRequest{
		team: req.Team, queueLimit: limit, timeout: timeout, slotIntervalMicros: r.slotIntervalMicros(req.Service),
		freeSlots: func() int { return r.freeSlots(req.Service) },
	})
}

// freeSlots counts the free slots at the service's targets that are neither
// leaving nor ejected, as far as the tracker knows.
func (r *Router) freeSlots(service cowslipbend.ServiceID) int {
	n := 0
	now := r.clock.Now()
	for _, t := range r.tracker.Targets(service) {
		if c := t.Candidate(now, false); !c.Excluded && !c.Ejected && !r.isOut(t) {
			n += max(c.Slots-c.Inflight, 0)
		}
	}
	return n
}

// slotIntervalMicros estimates the time in microseconds after which another slot
// of a service becomes free while all are in use.
func (r *Router) slotIntervalMicros(service cowslipbend.ServiceID) int64 {
	slots, latencySum, n := int64(0), int64(0), int64(0)
	now := r.clock.Now()
	for _, t := range r.tracker.Targets(service) {
		c := t.Candidate(now, false)
		slots += int64(c.Slots)
		latencySum += c.LatencyMicros
		n++
	}
	if n == 0 || slots == 0 {
		return 0
	}
	return latencySum / n / slots
}
