package conductor

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/recoverer"
)

// errUnsound is returned once a use of the planner has panicked.
var errUnsound = cowslipbend.Fail(cowslipbend.KindBroken, "state of the owner may be inconsistent after an unexpected error", "see the log; the flows are loaded again")

// use calls a function that uses the planner, unless an earlier use has panicked. If
// this one panics, the planner may be inconsistent: nothing more is decided,
// committed or granted from it, and Run ends, so that the next owner loads the flows
// from the store. It reports whether the function has returned. The caller holds the
// lock, which a panic that went on would leave locked.
func (c *Conductor) use(part string, f func()) (ok bool) {
	if c.unsound {
		return false
	}
	err := recoverer.Call(part, c.log, c.settings.Metrics, func() error {
		f()
		return nil
	})
	if err == nil {
		return true
	}
	c.unsound = true
	select {
	case c.failures <- err:
	default:
	}
	return false
}

// tryDecide decides. After an error or a panic nothing more is decided or granted.
func (c *Conductor) tryDecide() (d *decision, err error) {
	err = recoverer.Call("round", c.log, c.settings.Metrics, func() (err error) {
		d, err = c.decide()
		return err
	})
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unsound = true
	}
	return d, err
}

// submit adds an accepted flow. One for which the planner panics is ignored, as
// otherwise it would end each owner in turn. The caller holds the lock.
func (c *Conductor) submit(flow *cowslipbend.Flow) {
	err := recoverer.Call("submit", c.log, c.settings.Metrics, func() error {
		c.planner.Submit(flow)
		return nil
	})
	if err != nil {
		c.log.Error("conductor ignored a flow that the planner cannot take", "flow", flow.ID, "error", err)
	}
}

// restore adds a flow with its progress. It returns KindBroken if that cannot be
// restored or the planner panics. The caller holds the lock.
func (c *Conductor) restore(flow *cowslipbend.Flow, data []byte, now cowslipbend.Time) error {
	return recoverer.Call("restore", c.log, c.settings.Metrics, func() error { return c.planner.Restore(flow, data, now) })
}

// guarded returns a function that calls another one and returns its panic as an
// error.
func (c *Conductor) guarded(part string, f func() error) func() error {
	return func() error { return recoverer.Call(part, c.log, c.settings.Metrics, f) }
}

// awaitFailure returns the error of a use of the planner that has panicked, or nil
// when the context ends.
func (c *Conductor) awaitFailure(ctx context.Context) error {
	select {
	case err := <-c.failures:
		return err
	case <-ctx.Done():
		return nil
	}
}
