package scheduler

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
	"cowslipbend.dev/leaser"
	"cowslipbend.dev/timer"
)

// Times of witnessing.
const (
	// watchPeriod is the time between two rounds of holds.
	watchPeriod = cowslipbend.Second
	// confirmPause is the age of the last confirmed read from which on
	// witnesses are asked.
	confirmPause = 2 * cowslipbend.Second
	// releasePause is the time between two rounds of releases.
	releasePause = cowslipbend.Second / 2
)

// watchers returns the witnesses that the head should list, and whether that
// is a change which should be committed now. The list is left alone while the
// store does not answer.
func (o *Owner) watchers() ([]journaler.Witness, bool) {
	if o.leases.Grant() < o.leases.Terms().Length-confirmPause {
		return nil, false
	}
	list := o.members.Witnesses()
	return list, !slices.Equal(list, o.journal.Head().Witnesses)
}

// Watch has the witnesses back the leases while the store does not confirm
// the epoch. It runs beside Run.
func (o *Owner) Watch(ctx context.Context) error {
	return timer.Every(ctx, o.clock, watchPeriod, func(ctx context.Context) error {
		if o.leases.Grant() <= o.leases.Terms().Length-confirmPause {
			o.hold(ctx)
		}
		return nil
	})
}

// hold asks all witnesses that may be listed, and extends the leases if each
// of them holds.
func (o *Owner) hold(ctx context.Context) {
	sent := o.clock.Now()
	lists := o.journal.Watchers()
	if !leaser.Extendable(lists, func(l []journaler.Witness) bool { return len(l) == 0 }) {
		return
	}
	var g errgroup.Group
	for _, w := range slices.Concat(lists...) {
		g.Go(func() error {
			if o.members.Hold(ctx, w, o.pool, o.epoch) {
				return nil
			}
			return cowslipbend.Fail(cowslipbend.KindDown, "witness "+string(w.ID)+" does not hold", "wait for the store")
		})
	}
	if err := g.Wait(); err != nil {
		o.log.Debug("leases were not extended", "pool", o.pool, "error", err)
		return
	}
	o.leases.Extend(sent)
}

// lapse finds out when the leases of earlier epochs have lapsed, by asking
// the witnesses of the head that this owner replaced.
func (o *Owner) lapse(ctx context.Context, list []journaler.Witness, committed cowslipbend.Time) error {
	released := make(chan cowslipbend.Time, len(list))
	for {
		var g errgroup.Group
		for _, w := range list {
			g.Go(func() error {
				if o.members.Release(ctx, w, o.pool, o.epoch-1) {
					released <- o.clock.Now()
				}
				return nil
			})
		}
		_ = g.Wait()
		select {
		case at := <-released:
			return o.Settle(ctx, o.leases.Terms().Lapse(committed, len(list), at))
		default:
		}
		select {
		case <-o.done:
			return nil
		case <-ctx.Done():
			return nil
		case <-o.clock.After(releasePause):
		}
	}
}
