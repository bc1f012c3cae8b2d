package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// Options are the terms of a run.
type Options struct {
	// Bin is the directory with the programs, Dir takes settings and logs.
	Bin, Dir string
	Entries  int
	Agents   int
	Clients  int
	// For is how long faults come.
	For  cowslipbend.Span
	Seed int
	// Base is the first port.
	Base int
	Log  hclog.Logger
}

// Check reports all faults of the options at once.
func (o *Options) Check() error {
	var l cowslipbend.Errors
	for _, n := range []struct {
		flag        string
		value, most int
	}{
		{"--entries", o.Entries, 30},
		{"--agents", o.Agents, 200},
		{"--clients", o.Clients, 200},
	} {
		if n.value < 1 || n.value > n.most {
			l.Add(cowslipbend.Invalid(n.flag, fmt.Sprintf("%d is out of bounds", n.value), fmt.Sprintf("give 1 to %d", n.most)))
		}
	}
	if o.For <= 0 {
		l.Add(cowslipbend.Invalid("--for", "is not above zero", "give a span"))
	}
	if o.Seed < 0 {
		l.Add(cowslipbend.Invalid("--seed", "is below zero", "give a number from 0 on"))
	}
	return l.Err()
}

// Report is what a run saw.
type Report struct {
	Seed      int
	Submitted int
	Accepted  int
	Refused   int
	Starts    int
	Injected  int
	// Faults lists the promises that were broken.
	Faults []string
}

// Times of a run.
const (
	startTime = 2 * time.Second // until the first fault
	// calmTime bounds how long accepted work may take after the last fault, and
	// entries to follow the newest rules: leases, their spare, and the work.
	calmTime = 40 * time.Second
	// gapTime is the longest pause between two faults.
	gapTime = 900 * time.Millisecond
)

// Run runs one seed. An error means that the run itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	beats, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	f, err := newFleet(beats, o)
	r := &Report{Seed: o.Seed}
	if err == nil {
		err = r.soak(ctx, f)
	}
	stopBeats()
	if ended := f.close(); err == nil {
		err = ended
	}
	return r, err
}

// soak injects faults while clients work, and checks what is left.
func (r *Report) soak(ctx context.Context, f *fleet) error {
	l := &ledger{}
	work, stop := context.WithCancel(ctx)
	defer stop()
	var clients errgroup.Group
	for i := range f.opts.Clients {
		c := &client{fleet: f, ledger: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), uint64(i)))}
		c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
		clients.Go(func() error { return c.run(work) })
	}
	wait(ctx, startTime)
	if err := r.inject(ctx, f); err != nil {
		return err
	}
	stop()
	if err := clients.Wait(); err != nil {
		return err
	}
	last := &client{fleet: f, ledger: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<32))}
	r.settle(ctx, f, l, last)
	r.count(f, l)
	return ctx.Err()
}

// inject plays the faults of the seed and waits until all are taken back.
func (r *Report) inject(ctx context.Context, f *fleet) error {
	rnd := rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<33))
	end := time.Now().Add(f.opts.For.Duration())
	published := false
	for time.Now().Before(end) && ctx.Err() == nil {
		if what := f.fault(ctx, rnd); what != "" {
			r.Injected++
			f.opts.Log.Info("fault", "seed", f.opts.Seed, "what", what)
		}
		wait(ctx, time.Duration(rnd.Int64N(int64(gapTime))))
		if !published && time.Until(end) < f.opts.For.Duration()/2 {
			published = true
			if err := f.config(ctx, 2, routeFirst, routeSecond); err != nil {
				return err
			}
		}
	}
	f.faults.Wait()
	return nil
}

// settle waits until all accepted work has ended and all entries follow the
// newest rules, and notes what has not come true in time.
func (r *Report) settle(ctx context.Context, f *fleet, l *ledger, c *client) {
	calm, cancel := context.WithTimeout(ctx, calmTime)
	defer cancel()
	open := slices.DeleteFunc(slices.Clone(l.jobs), func(o *outcome) bool { return o.accepted.IsZero() })
	for _, o := range remaining(calm, open, func(o *outcome) bool {
		state := c.state(ctx, o)
		return state == "done" || state == "cancelled"
	}) {
		l.fault("%s was accepted and has not ended", o.id)
	}
	for _, m := range remaining(calm, f.entries, func(m *member) bool { return c.late(ctx, m.front) }) {
		l.fault("%s does not follow the newest rules", m.proc.name)
	}
	for _, o := range l.jobs {
		if o.refused && f.pool.Ran(o.id) {
			l.fault("%s was refused and has run", o.id)
		}
	}
}

// remaining asks again and again until the condition holds of all, and returns
// those of which it has not held when the context ends.
func remaining[T any](ctx context.Context, list []T, holds func(T) bool) []T {
	list = slices.Clone(list)
	for {
		if list = slices.DeleteFunc(list, holds); len(list) == 0 || ctx.Err() != nil {
			return list
		}
		wait(ctx, pollTime)
	}
}

func (r *Report) count(f *fleet, l *ledger) {
	for _, o := range l.jobs {
		r.Submitted++
		switch {
		case !o.accepted.IsZero():
			r.Accepted++
		case o.refused:
			r.Refused++
		}
	}
	r.Starts = f.pool.Starts()
	r.Faults = append(f.pool.Faults(), l.faults...)
	if len(r.Faults) > 0 {
		f.opts.Log.Error("promises are broken", "seed", f.opts.Seed, "logs", filepath.Clean(f.opts.Dir), "faults", r.Faults)
	}
}
