package router

import (
	"context"
	"sync"
	"sync/atomic"

	"cowslipbend.dev"
)

// queue holds the requests of one service that wait for a slot, in one
// first-in, first-out lane for each team. Lanes are served round-robin. A full
// queue drops the newest request of the longest lane, so that one team's load
// does not displace the requests of the others.
type queue struct {
	length atomic.Int64

	mu       sync.Mutex
	lanes    []*lane
	nextLane int
	// pendingGrants counts the requests that were granted a slot and have not
	// yet reserved it at a target, as their slots still count as free.
	pendingGrants int
}

type lane struct {
	team    cowslipbend.TeamID
	waiters []*waiter
}

// waiter is a waiting request. Its result is sent once: nil grants a slot.
type waiter struct{ result chan error }

// slotRequest describes a request that waits for a slot.
type slotRequest struct {
	team       cowslipbend.TeamID
	queueLimit int
	// timeout bounds the wait.
	timeout cowslipbend.Span
	// slotIntervalMicros is the estimated time in microseconds after which another
	// slot becomes free.
	slotIntervalMicros int64
	// freeSlots counts the free slots of the service.
	freeSlots func() int
}

// slotPollInterval is the time after which a waiting request checks for slots
// that requests of other entries have freed, which this queue is not notified
// of.
const slotPollInterval = 20 * cowslipbend.Millisecond

func (q *queue) empty() bool { return q.length.Load() == 0 }

// wait returns nil once the request is granted a slot. Otherwise the request
// has not run and the error says when to retry.
func (q *queue) wait(ctx context.Context, clock cowslipbend.Clock, t slotRequest) error {
	w, err := q.enqueue(t)
	if err != nil {
		return err
	}
	expired := clock.After(t.timeout)
	for {
		q.grantSlots(t.freeSlots)
		select {
		case err := <-w.result:
			return err
		case <-clock.After(slotPollInterval):
			continue
		case <-expired:
		case <-ctx.Done():
		}
		if q.remove(t.team, w) {
			return busyError("no slot became free within the time that the request may wait", t.retryAfter(q.length.Load()))
		}
		return <-w.result
	}
}

// enqueue adds the request. It refuses it at once if the queue is full or if
// the expected wait is longer than the request's timeout.
func (q *queue) enqueue(t slotRequest) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.length.Load()
	if expectedWait := cowslipbend.Span((n + 1) * t.slotIntervalMicros / microsPerMilli); expectedWait > t.timeout {
		return nil, busyError("expected wait in the queue is longer than the request may wait", t.retryAfter(n))
	}
	q.removeEmptyLanes()
	own := q.lane(t.team)
	if int(n) >= t.queueLimit && !q.dropFromLongest(own, t.retryAfter(n)) {
		return nil, busyError("queue of the service is full", t.retryAfter(n))
	}
	w := &waiter{result: make(chan error, 1)}
	own.waiters = append(own.waiters, w)
	q.length.Add(1)
	return w, nil
}

const microsPerMilli = 1000

// retryAfter returns the time in which the queue is expected to shrink by half,
// at least a second.
func (t slotRequest) retryAfter(waiting int64) cowslipbend.Span {
	return max(cowslipbend.Span(waiting*t.slotIntervalMicros/(2*microsPerMilli)), cowslipbend.Second)
}

func busyError(what string, after cowslipbend.Span) error {
	return notRun(&cowslipbend.Error{Kind: cowslipbend.KindBusy, What: what, Remedy: "send less, or try again later", After: after})
}

// lane returns the lane of a team, and adds it if there is none.
func (q *queue) lane(team cowslipbend.TeamID) *lane {
	for _, l := range q.lanes {
		if l.team == team {
			return l
		}
	}
	l := &lane{team: team}
	q.lanes = append(q.lanes, l)
	return l
}

func (q *queue) removeEmptyLanes() {
	kept := q.lanes[:0]
	for _, l := range q.lanes {
		if len(l.waiters) > 0 {
			kept = append(kept, l)
		}
	}
	q.lanes = kept
}

// dropFromLongest refuses the newest request of the longest lane to make room
// for a new one in the own lane. It reports false if no lane is longer than the
// own lane would become.
func (q *queue) dropFromLongest(own *lane, after cowslipbend.Span) bool {
	longest := own
	for _, l := range q.lanes {
		if len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}
	last := len(longest.waiters) - 1
	if longest == own || last <= len(own.waiters) {
		return false
	}
	longest.waiters[last].result <- busyError("queue is full and this team has the most requests in it", after)
	longest.waiters = longest.waiters[:last]
	q.length.Add(-1)
	return true
}

// remove removes a request and reports whether it was still waiting.
func (q *queue) remove(team cowslipbend.TeamID, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lanes {
		if l.team != team {
			continue
		}
		for i, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
				q.length.Add(-1)
				return true
			}
		}
	}
	return false
}

// grantSlots grants the free slots to waiting requests.
func (q *queue) grantSlots(freeSlots func() int) {
	if q.empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for n := freeSlots() - q.pendingGrants; n > 0 && q.grantNext(); n-- {
		q.pendingGrants++
	}
}

// grantNext grants a slot to the oldest request of the next lane. It reports
// false if no request waits.
func (q *queue) grantNext() bool {
	for len(q.lanes) > 0 {
		q.nextLane %= len(q.lanes)
		l := q.lanes[q.nextLane]
		if len(l.waiters) == 0 {
			q.lanes = append(q.lanes[:q.nextLane], q.lanes[q.nextLane+1:]...)
			continue
		}
		l.waiters[0].result <- nil
		l.waiters = l.waiters[1:]
		q.length.Add(-1)
		q.nextLane++
		return true
	}
	return false
}

// releaseGrant ends a grant once its request has reserved a slot or has given
// up.
func (q *queue) releaseGrant() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingGrants--
}
