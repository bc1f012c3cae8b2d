package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
)

// Options configure a run.
type Options struct {
	// Bin is the directory of the programs entry and agent, Dir the one for
	// settings and logs of the processes.
	Bin, Dir string
	Entries  int
	Agents   int
	Clients  int
	// InjectionTime is how long faults are injected.
	InjectionTime cowslipbend.Span
	// Wide has a client submit a wide job.
	Wide bool
	// Partitions has partitions of agents as the only faults, beside entries and agents
	// that are killed or paused meanwhile.
	Partitions bool
	// Restarts has runners that start again under their ids as the only faults, with calls
	// that are carried out late, and agents that are cut off soon after.
	Restarts bool
	// Replacements has machines beside runners that are replaced for good as the main fault, with
	// a store whose rows are small.
	Replacements bool
	Seed         int
	// BasePort is the lowest port that the run uses.
	BasePort int
	Log      hclog.Logger
}

// hasAllFaults reports whether faults of all kinds are injected.
func (o *Options) hasAllFaults() bool { return !o.Partitions && !o.Restarts && !o.Replacements }

// Check returns an error that lists every invalid option.
func (o *Options) Check() error {
	var l cowslipbend.Errors
	for _, n := range []struct {
		flag         string
		value, limit int
	}{
		{"--entries", o.Entries, 30},
		{"--agents", o.Agents, 200},
		{"--clients", o.Clients, 200},
	} {
		if n.value < 1 || n.value > n.limit {
			l.Add(cowslipbend.Invalid(n.flag, fmt.Sprintf("%d is out of bounds", n.value), fmt.Sprintf("give 1 to %d", n.limit)))
		}
	}
	if o.InjectionTime <= 0 {
		l.Add(cowslipbend.Invalid("--for", "is not above zero", "give a span"))
	}
	if o.Seed < 0 {
		l.Add(cowslipbend.Invalid("--seed", "is below zero", "give a number from 0 on"))
	}
	return l.Err()
}

// Report is the result of a run.
type Report struct {
	Seed int
	// Submitted counts the jobs that clients submitted, Accepted and Refused
	// those with a definite answer. Starts counts the tasks that runners started.
	Submitted int
	Accepted  int
	Refused   int
	Starts    int
	Copies    int // second runs beside the first
	Injected  int // faults
	Machines  int // beside runners that have ever been
	// Faults describes each violation of an invariant.
	Faults []string
}

// Timing of a run.
const (
	warmupTime = 2 * time.Second // until the first fault
	// settleTimeout is how long after the last fault accepted jobs may take to end
	// and entries to serve the latest rules. It covers the lapse of leases with
	// its safety margin, and the work itself.
	settleTimeout = 40 * time.Second
	// maxFaultGap is the longest pause between the starts of two faults.
	maxFaultGap = 900 * time.Millisecond
)

// Run runs one seed. Violated invariants are in the report; an error means that
// the run could not be carried out.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	fleetCtx, stopFleet := context.WithCancel(ctx)
	defer stopFleet()
	f, err := newFleet(fleetCtx, o)
	r := &Report{Seed: o.Seed}
	if err == nil {
		err = r.soak(ctx, f)
	}
	stopFleet()
	if closeErr := f.close(); err == nil {
		err = closeErr
	}
	return r, err
}

// soak injects faults while clients submit jobs, and then checks the
// invariants.
func (r *Report) soak(ctx context.Context, f *fleet) error {
	l := &recorder{}
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	var clients errgroup.Group
	for i := range f.opts.Clients {
		c := &client{fleet: f, recorder: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), uint64(i)))}
		c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
		clients.Go(func() error { return c.run(workCtx) })
	}
	flooder := &client{fleet: f, recorder: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<35))}
	clients.Go(func() error {
		sleep(workCtx, warmupTime+time.Duration(flooder.rnd.Int64N(max(1, int64(f.opts.InjectionTime.Duration()-floodTime)))))
		return flooder.flood(workCtx)
	})
	wide := &client{fleet: f, recorder: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<36))}
	clients.Go(func() error {
		if f.opts.Wide && !f.opts.Replacements {
			sleep(workCtx, time.Duration(wide.rnd.Int64N(max(1, int64(f.opts.InjectionTime.Duration()/2)))))
			wide.submitWide(workCtx)
		}
		return nil
	})
	lasting := &client{fleet: f, recorder: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<37))}
	clients.Go(func() error {
		lasting.submitLasting(workCtx)
		return nil
	})
	sleep(ctx, warmupTime)
	if err := r.inject(ctx, f); err != nil {
		return err
	}
	stop()
	if err := clients.Wait(); err != nil {
		return err
	}
	verifier := &client{fleet: f, recorder: l, rnd: rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<32))}
	r.settle(ctx, f, l, verifier)
	r.summarise(f, l)
	return ctx.Err()
}

// inject starts the faults of the seed, changes the rules and takes domains out of
// service meanwhile, and waits until all of that is reverted except for the rules.
func (r *Report) inject(ctx context.Context, f *fleet) error {
	rnd := rand.New(rand.NewPCG(uint64(f.opts.Seed), 1<<33))
	startedAt := time.Now()
	end := startedAt.Add(f.opts.InjectionTime.Duration())
	var operator errgroup.Group
	changes := 0
	switch {
	case f.opts.Partitions:
		r.Injected = f.playPartitions(ctx, rnd, end)
	case f.opts.Restarts:
		r.Injected = f.playRestarts(ctx, rnd, end)
	case f.opts.Replacements:
		r.Injected = f.playReplacements(ctx, rnd, end)
	default:
		operator.Go(func() error { return f.cycleDomains(ctx, end) })
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if what := f.startRandomFault(ctx, rnd); what != "" {
			r.Injected++
			f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", what)
		}
		sleep(ctx, time.Duration(rnd.Int64N(int64(maxFaultGap))))
		if time.Since(startedAt)*(rulesChanges+1) > f.opts.InjectionTime.Duration()*time.Duration(changes+1) {
			changes++
			if err := f.changeRules(ctx, changes); err != nil {
				return errors.Join(err, operator.Wait())
			}
		}
	}
	f.activeFaults.Wait()
	if err := operator.Wait(); err != nil {
		return err
	}
	if changes == rulesChanges {
		return nil
	}
	return f.changeRules(ctx, rulesChanges)
}

// changeRules publishes the rules with one change more. The last one adds the route
// that settle asks for.
func (f *fleet) changeRules(ctx context.Context, changes int) error {
	if changes < rulesChanges {
		return f.publishRules(ctx, changes, baseRoute)
	}
	return f.publishRules(ctx, changes, baseRoute, addedRoute)
}

// settle waits until all accepted jobs have ended and all entries serve the
// latest rules. It records a fault for each that does not in time, and for each
// refused job that has run.
func (r *Report) settle(ctx context.Context, f *fleet, l *recorder, c *client) {
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	accepted := slices.DeleteFunc(slices.Clone(l.jobs), func(o *jobOutcome) bool { return o.acceptedAt.IsZero() })
	lasting := slices.DeleteFunc(slices.Clone(accepted), func(o *jobOutcome) bool { return !o.lasts })
	accepted = slices.DeleteFunc(accepted, func(o *jobOutcome) bool { return o.lasts })
	for _, o := range pollUntilAll(settleCtx, accepted, func(o *jobOutcome) bool {
		state := c.state(ctx, o)
		return state == "done" || state == "cancelled" || (o.crashesRunners && state == "failed")
	}) {
		l.addFault("%s was accepted and has not ended", o.id)
	}
	for _, m := range pollUntilAll(settleCtx, f.entries, func(m *member) bool { return c.servesAddedRoute(ctx, m.front) }) {
		l.addFault("%s does not serve the route of the latest rules", m.proc.Name)
	}
	for _, o := range watchLasting(ctx, f, lasting) {
		l.addFault("%s was accepted, and its task that lasts has not run for %s", o.id, maxLastingIdle)
	}
	for _, o := range l.jobs {
		if o.refused && f.pool.JobStarted(o.id) {
			l.addFault("%s was refused and has run", o.id)
		}
	}
	for range pollUntilAll(settleCtx, []*fleet{f}, func(f *fleet) bool { return !f.opts.Replacements || len(f.strayRows(ctx)) == 0 }) {
		l.addFault("rows of agents: %s", strings.Join(f.strayRows(ctx), ", "))
	}
	for _, why := range f.store.Refusals() {
		l.addFault("the store refused a transaction: %s", why)
	}
}

// A task that lasts has to run again maxLastingIdle after its last run. It is watched for
// lastingWatchTime, once all other jobs have ended.
const (
	maxLastingIdle   = 6 * time.Second
	lastingWatchTime = 12 * time.Second
)

// watchLasting returns the jobs whose task has not run for maxLastingIdle.
func watchLasting(ctx context.Context, f *fleet, jobs []*jobOutcome) []*jobOutcome {
	lastRunAt, idle := map[*jobOutcome]time.Time{}, map[*jobOutcome]bool{}
	for end := time.Now().Add(lastingWatchTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval/4) {
		running := f.pool.RunningTasks()
		for _, o := range jobs {
			if _, found := slices.BinarySearch(running, o.id+".0.0.0"); found || lastRunAt[o].IsZero() {
				lastRunAt[o] = time.Now()
			}
			idle[o] = idle[o] || time.Since(lastRunAt[o]) > maxLastingIdle
		}
	}
	return slices.DeleteFunc(slices.Clone(jobs), func(o *jobOutcome) bool { return !idle[o] })
}

// pollUntilAll polls until the condition holds for every element. It returns
// those for which it has not held when the context ends.
func pollUntilAll[T any](ctx context.Context, list []T, holds func(T) bool) []T {
	list = slices.Clone(list)
	for {
		if list = slices.DeleteFunc(list, holds); len(list) == 0 || ctx.Err() != nil {
			return list
		}
		sleep(ctx, pollInterval)
	}
}

// summarise fills in the totals of the run and all faults.
func (r *Report) summarise(f *fleet, l *recorder) {
	for _, o := range l.jobs {
		r.Submitted++
		switch {
		case !o.acceptedAt.IsZero():
			r.Accepted++
		case o.refused:
			r.Refused++
		}
	}
	r.Starts, r.Copies, r.Machines = f.pool.Starts(), f.pool.Copies(), f.machines
	r.Faults = append(f.pool.Faults(), l.faults...)
	if len(r.Faults) > 0 {
		f.opts.Log.Error("invariants violated; logs of the processes are kept", "seed", f.opts.Seed, "logs", filepath.Clean(f.opts.Dir), "faults", r.Faults)
	}
}
