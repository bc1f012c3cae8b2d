package router

import (
	"context"
	"sync"
	"sync/atomic"

	"cowslipbend.dev"
)

// queue holds the requests of one service that wait for a slot, in one lane
// for each team. Lanes are served in turn; within a lane the oldest goes
// first. A full queue drops the newest request of the longest lane, so that
// one team's flood does not push out the others.
//
// Granted counts the requests that were let through and have not yet been
// sent, as the slots that they will take still look free.
type queue struct {
	waiting atomic.Int64

	mu      sync.Mutex
	lanes   []*lane
	next    int
	granted int
}

type lane struct {
	team    cowslipbend.TeamID
	waiters []*waiter
}

// waiter is told once what became of it: nil lets it through.
type waiter struct{ told chan error }

// ticket is what a request brings to the queue.
type ticket struct {
	team  cowslipbend.TeamID
	limit int
	// left is how long it can wait.
	left cowslipbend.Span
	// pace is the microseconds between two slots that come free.
	pace int64
	free func() int
}

// lookPeriod is the time after which a waiting request looks for slots that
// other entries have freed.
const lookPeriod = 20 * cowslipbend.Millisecond

func (q *queue) empty() bool { return q.waiting.Load() == 0 }

// wait returns once the request may be sent, or a certain refusal that says
// when to come back.
func (q *queue) wait(ctx context.Context, clock cowslipbend.Clock, t ticket) error {
	w, err := q.enter(t)
	if err != nil {
		return err
	}
	end := clock.After(t.left)
	for {
		q.grant(t.free)
		select {
		case err := <-w.told:
			return err
		case <-clock.After(lookPeriod):
			continue
		case <-end:
		case <-ctx.Done():
		}
		if q.leave(t.team, w) {
			return full("request waited as long as it can", t.advice(q.waiting.Load()))
		}
		return <-w.told
	}
}

// enter adds the request, or refuses it at once if its time would pass before
// its turn.
func (q *queue) enter(t ticket) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.waiting.Load()
	if expect := cowslipbend.Span((n + 1) * t.pace / microsPerMilli); expect > t.left {
		return nil, full("queue is longer than the request can wait", t.advice(n))
	}
	q.prune()
	own := q.lane(t.team)
	if int(n) >= t.limit && !q.drop(own, t.advice(n)) {
		return nil, full("queue of the service is full", t.advice(n))
	}
	w := &waiter{told: make(chan error, 1)}
	own.waiters = append(own.waiters, w)
	q.waiting.Add(1)
	return w, nil
}

const microsPerMilli = 1000

// advice returns when the queue will have shrunk by half, at least a second.
func (t ticket) advice(waiting int64) cowslipbend.Span {
	return max(cowslipbend.Span(waiting*t.pace/(2*microsPerMilli)), cowslipbend.Second)
}

func full(what string, after cowslipbend.Span) error {
	return notRun(&cowslipbend.Error{Kind: cowslipbend.KindBusy, What: what, Remedy: "send less, or come back later", After: after})
}

// lane returns the lane of a team.
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

// prune removes empty lanes.
func (q *queue) prune() {
	kept := q.lanes[:0]
	for _, l := range q.lanes {
		if len(l.waiters) > 0 {
			kept = append(kept, l)
		}
	}
	q.lanes = kept
}

// drop refuses the newest request of the longest lane if that one is longer
// than the own lane would become.
func (q *queue) drop(own *lane, after cowslipbend.Span) bool {
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
	longest.waiters[last].told <- full("queue is full and the team has the most in it", after)
	longest.waiters = longest.waiters[:last]
	q.waiting.Add(-1)
	return true
}

// leave takes a request out and reports whether it still waited.
func (q *queue) leave(team cowslipbend.TeamID, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lanes {
		if l.team != team {
			continue
		}
		for i, other := range l.waiters {
			if other == w {
				l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
				q.waiting.Add(-1)
				return true
			}
		}
	}
	return false
}

// grant lets requests through while slots are free.
func (q *queue) grant(free func() int) {
	if q.empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for n := free() - q.granted; n > 0 && q.turn(); n-- {
		q.granted++
	}
}

// turn lets the oldest request of the next lane through.
func (q *queue) turn() bool {
	for len(q.lanes) > 0 {
		q.next %= len(q.lanes)
		l := q.lanes[q.next]
		if len(l.waiters) == 0 {
			q.lanes = append(q.lanes[:q.next], q.lanes[q.next+1:]...)
			continue
		}
		l.waiters[0].told <- nil
		l.waiters = l.waiters[1:]
		q.waiting.Add(-1)
		q.next++
		return true
	}
	return false
}

// sent notes that a request that was let through now takes its slot, or never
// will.
func (q *queue) sent() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.granted--
}
