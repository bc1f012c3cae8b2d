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

// Intervals of holds and releases.
const (
	// holdInterval is the time between two rounds of holds.
	holdInterval = cowslipbend.Second
	// maxConfirmAge is the time after the last confirmation of the epoch, by the
	// store or by all witnesses, from which on witnesses are asked to hold it.
	maxConfirmAge = 2 * cowslipbend.Second
	// releaseInterval is the time between two rounds of releases.
	releaseInterval = cowslipbend.Second / 2
)

// changedWitnesses returns the witnesses that the head should list, and whether
// the head has to be changed to list them. The list stays as it is while the
// store does not confirm the epoch.
func (o *Owner) changedWitnesses() ([]journaler.EntryRef, bool) {
	if o.leases.Grant() < o.leases.Terms().Length-maxConfirmAge {
		return nil, false
	}
	list := o.members.Witnesses()
	return list, !slices.Equal(list, o.journal.Head().Witnesses)
}

// MaintainLeases asks the witnesses to hold the epoch while the store does not
// confirm it, so that leases can be extended. It runs concurrently with Run.
func (o *Owner) MaintainLeases(ctx context.Context) error {
	return timer.Every(ctx, o.clock, holdInterval, func(ctx context.Context) error {
		if o.leases.Grant() <= o.leases.Terms().Length-maxConfirmAge {
			o.extendLeases(ctx)
		}
		return nil
	})
}

// extendLeases asks all witnesses that the head may list to hold the epoch, and
// extends the leases if each of them does.
func (o *Owner) extendLeases(ctx context.Context) {
	sentAt := o.clock.Now()
	lists := o.journal.PossibleWitnesses()
	if !leaser.Extendable(lists, func(l []journaler.EntryRef) bool { return len(l) == 0 }) {
		return
	}
	var g errgroup.Group
	for _, w := range slices.Concat(lists...) {
		g.Go(func() error {
			if o.members.Hold(ctx, w, o.pool, o.epoch) {
				return nil
			}
			return cowslipbend.Fail(cowslipbend.KindDown, "witness "+string(w.ID)+" does not hold the epoch", "wait for the store")
		})
	}
	if err := g.Wait(); err != nil {
		o.log.Debug("leases were not extended by witnesses", "pool", o.pool, "error", err)
		return
	}
	o.leases.Extend(sentAt)
}

// awaitRelease asks the witnesses in the replaced head to release the earlier
// epochs until one has, and then limits the time at which the leases of those
// epochs have ended.
func (o *Owner) awaitRelease(ctx context.Context, list []journaler.EntryRef, committedAt cowslipbend.Time) error {
	releasedAt := make(chan cowslipbend.Time, len(list))
	for {
		var g errgroup.Group
		for _, w := range list {
			g.Go(func() error {
				if o.members.Release(ctx, w, o.pool, o.epoch-1) {
					releasedAt <- o.clock.Now()
				}
				return nil
			})
		}
		_ = g.Wait()
		select {
		case at := <-releasedAt:
			return o.LimitPriorLeases(ctx, o.leases.Terms().PriorLeasesEnd(committedAt, len(list), at))
		default:
		}
		select {
		case <-o.done:
			return nil
		case <-ctx.Done():
			return nil
		case <-o.clock.After(releaseInterval):
		}
	}
}
