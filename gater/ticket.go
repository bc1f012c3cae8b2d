package gater

import (
	"time"

	"cowslipbend.dev"
)

// Ticket is the permission to run one request. Exactly one of its ending
// methods is called, once.
type Ticket struct {
	gate  *Gate
	id    cowslipbend.RequestID
	rec   *record
	ep    *endpoint
	watch bool
	began time.Time // A measurement in microseconds; no decision hangs on it.
	// URL is the base URL of the endpoint.
	URL string
}

// OnCancel sets what a cancelling Void calls while the request runs.
func (t *Ticket) OnCancel(cancel func()) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.rec.cancel = cancel
}

// Finish ends a request that ran. The answer is kept for non-idempotent
// requests if it is whole and fits.
func (t *Ticket) Finish(a Answer, whole, failed bool) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t.measure(failed)
	t.rec.state = Lost
	keep := g.opts.Retention
	size := a.size()
	if t.rec.once && whole && size <= g.opts.Answer && g.kept+size <= g.opts.Answers {
		t.rec.state = Done
		t.rec.answer = a
		g.kept += size
	}
	if t.rec.once {
		keep = max(keep, g.opts.Keep)
	}
	t.end(now, keep)
}

// Unrun ends a request that certainly did not run. Its id becomes a
// tombstone.
func (t *Ticket) Unrun() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t.measure(true)
	t.rec.state = Never
	t.end(now, g.opts.Retention)
}

// measure leaves out watches, which say nothing about the time of an answer.
func (t *Ticket) measure(failed bool) {
	if !t.watch {
		t.ep.measure(time.Since(t.began).Microseconds(), failed)
	}
}

// end frees the slot and sets when the record may be dropped.
func (t *Ticket) end(now cowslipbend.Time, keep cowslipbend.Span) {
	g := t.gate
	t.rec.cancel = nil
	close(t.rec.done)
	t.ep.free(t.watch)
	g.active--
	g.retire(t.id, t.rec, now.Add(keep))
	if g.active == 0 && g.idle != nil {
		close(g.idle)
	}
}
