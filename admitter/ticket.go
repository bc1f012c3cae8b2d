package admitter

import (
	"slices"
	"time"

	"cowslipbend.dev"
)

// Ticket is the permission to run one request. The holder calls exactly one of
// Finish, Abandon and FinishNotRun, once.
type Ticket struct {
	gate     *Gate
	id       cowslipbend.RequestID
	rec      *record
	endpoint *endpoint
	watch    bool
	// acceptedAt is the time of acceptance by the gate's clock.
	acceptedAt cowslipbend.Time
	startedAt  time.Time // only for the measured latency, which needs microseconds
	// URL is the base URL of the endpoint.
	URL string
}

// OnCancel sets the function that Void calls to cancel the running request.
func (t *Ticket) OnCancel(cancel func()) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.rec.cancel = cancel
}

// Finish ends a request that ran. The answer of a non-idempotent request is kept
// if it is complete and within the size limits.
func (t *Ticket) Finish(a Answer, complete, failed bool) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t.recordOutcome(failed)
	if !t.watch {
		t.endpoint.recordDuration(now.Sub(t.acceptedAt))
	}
	t.rec.state = Lost
	retention := g.opts.Retention
	size := a.size()
	if t.rec.nonIdempotent && complete && size <= g.opts.MaxAnswerSize && g.keptAnswersSize+size <= g.opts.MaxAnswersSize {
		t.rec.state = Done
		t.rec.answer = a
		g.keptAnswersSize += size
	}
	if t.rec.nonIdempotent {
		retention = max(retention, g.opts.AnswerRetention)
	}
	t.end(now, retention)
}

// maxAbandonedTime bounds the time from the acceptance of an abandoned request
// to the release of its slot. Most calls have a shorter deadline.
const maxAbandonedTime = 3 * cowslipbend.Second

// Abandon ends a request whose connection the agent closed before the answer.
// The endpoint may not notice and go on with the request, so its slot stays in
// use until the request has taken as long as the longest recent answer. If it has
// taken longer already, the endpoint is slower than it was, and nothing but
// maxAbandonedTime bounds the request.
func (t *Ticket) Abandon() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t.rec.state = Lost
	retention := g.opts.Retention
	if t.rec.nonIdempotent {
		retention = max(retention, g.opts.AnswerRetention)
	}
	elapsed, expected := now.Sub(t.acceptedAt), t.endpoint.longestAnswer
	if elapsed >= expected {
		expected = maxAbandonedTime
	}
	remaining := min(expected, maxAbandonedTime) - elapsed
	if t.watch || remaining <= 0 {
		t.end(now, retention)
		return
	}
	g.abandonedSlots = append(g.abandonedSlots, abandonedSlot{endpoint: t.endpoint, releaseAt: now.Add(remaining)})
	t.close(now, retention)
}

// abandonedSlot is the slot of an abandoned request.
type abandonedSlot struct {
	endpoint  *endpoint
	releaseAt cowslipbend.Time
}

// releaseAbandoned releases the slots of the abandoned requests that are assumed
// to have ended.
func (g *Gate) releaseAbandoned(now cowslipbend.Time) {
	g.abandonedSlots = slices.DeleteFunc(g.abandonedSlots, func(s abandonedSlot) bool {
		if s.releaseAt > now {
			return false
		}
		s.endpoint.release(false)
		return true
	})
}

// FinishNotRun ends a request that certainly did not run. Its record becomes a
// tombstone.
func (t *Ticket) FinishNotRun() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t.recordOutcome(true)
	t.rec.state = Never
	t.end(now, g.opts.Retention)
}

// recordOutcome updates the averages of the endpoint. Watches are left out, as
// their duration is not that of an answer.
func (t *Ticket) recordOutcome(failed bool) {
	if !t.watch {
		t.endpoint.recordOutcome(time.Since(t.startedAt).Microseconds(), failed)
	}
}

// end releases slot and connection and closes the request.
func (t *Ticket) end(now cowslipbend.Time, retention cowslipbend.Span) {
	t.endpoint.release(t.watch)
	t.close(now, retention)
}

// close signals the end of the request to waiters and schedules the expiry of
// its record.
func (t *Ticket) close(now cowslipbend.Time, retention cowslipbend.Span) {
	g := t.gate
	t.rec.cancel = nil
	close(t.rec.done)
	g.activeRequests--
	g.scheduleExpiry(t.id, t.rec, now.Add(retention))
	if g.activeRequests == 0 && g.idle != nil {
		close(g.idle)
	}
}
