package admitter

import (
	"slices"
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
	// accepted is the moment of the gate's clock at which the request began.
	accepted cowslipbend.Time
	began    time.Time // A measurement in microseconds; no decision hangs on it.
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
	if !t.watch {
		t.ep.last(now.Sub(t.accepted))
	}
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

// settleMost bounds how long the slot of an abandoned request stays taken. Most
// calls have a shorter deadline.
const settleMost = 3 * cowslipbend.Second

// Abandon ends a request whose connection was cut from this side. An endpoint
// may work on unaware, so that the slot stays taken for as long as its answers
// lately took.
func (t *Ticket) Abandon() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t.rec.state = Lost
	keep := g.opts.Retention
	if t.rec.once {
		keep = max(keep, g.opts.Keep)
	}
	left := min(t.ep.longest, settleMost) - now.Sub(t.accepted)
	if t.watch || left <= 0 {
		t.end(now, keep)
		return
	}
	g.settling = append(g.settling, settling{ep: t.ep, until: now.Add(left)})
	t.close(now, keep)
}

// settling is the slot of an abandoned request.
type settling struct {
	ep    *endpoint
	until cowslipbend.Time
}

// settle frees the slots of abandoned requests that have ended by now.
func (g *Gate) settle(now cowslipbend.Time) {
	g.settling = slices.DeleteFunc(g.settling, func(s settling) bool {
		if s.until > now {
			return false
		}
		s.ep.free(false)
		return true
	})
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

// end frees the slot and closes the request.
func (t *Ticket) end(now cowslipbend.Time, keep cowslipbend.Span) {
	t.ep.free(t.watch)
	t.close(now, keep)
}

// close tells waiters of the end and sets when the record may be dropped.
func (t *Ticket) close(now cowslipbend.Time, keep cowslipbend.Span) {
	g := t.gate
	t.rec.cancel = nil
	close(t.rec.done)
	g.active--
	g.retire(t.id, t.rec, now.Add(keep))
	if g.active == 0 && g.idle != nil {
		close(g.idle)
	}
}
