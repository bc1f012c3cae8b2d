// Package try runs experiments. It starts the whole system on loopback with a
// simulated platform and simulated workers, applies a case and the load of a firm
// to it, and computes the result.
package try

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	agent "cowslipbend.dev/agent/runner"
	"cowslipbend.dev/checker"
	entry "cowslipbend.dev/entry/runner"
	"cowslipbend.dev/operator"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/load"
	"cowslipbend.dev/stand/reporter"
	"cowslipbend.dev/throttler"
	"cowslipbend.dev/timer"
)

// Options select and configure one run.
type Options struct {
	Firm   string
	Case   string
	Policy string
	// Routing is the routing policy of the entries, and Guard the mode of the
	// agents' throttler; empty stands for the default.
	Routing string
	Guard   string
	// LeaseCap bounds leases that witnesses extend, counted from the last store
	// exchange; 0 stands for the default.
	LeaseCap cowslipbend.Span
	// CancelOpen cancels all open jobs after the load before waiting for them.
	CancelOpen bool
	// Only restricts the load to services or to batch; empty stands for both.
	Only string
	// LoadTime is the time under load; 0 stands for the length of the case.
	LoadTime cowslipbend.Span
	Seed     uint64
	// Progress receives a line per step and per progress interval; nil for none.
	Progress io.Writer
	Log      hclog.Logger
}

// Values of Options.Only.
const (
	OnlyServices = "services"
	OnlyBatch    = "batch"
)

// Check validates the options and returns all errors at once.
func (o *Options) Check() error {
	var l cowslipbend.Errors
	_, err := firm.Get(o.Firm)
	l.Add(err)
	_, err = findScenario(o.Case)
	l.Add(err)
	switch o.Policy {
	case "guarded", "firstfit", "leastloaded":
	default:
		l.Add(cowslipbend.Invalid("--policy", o.Policy+" is unknown", "use guarded, firstfit or leastloaded"))
	}
	switch o.Only {
	case "", OnlyServices, OnlyBatch:
	default:
		l.Add(cowslipbend.Invalid("--only", o.Only+" is unknown", "use services or batch, or leave it out"))
	}
	switch o.Guard {
	case "", "throttle", "evict", "off":
	default:
		l.Add(cowslipbend.Invalid("--guard", o.Guard+" is unknown", "use throttle, evict or off"))
	}
	if o.LoadTime < 0 || (o.LoadTime > 0 && o.LoadTime < cowslipbend.Second) {
		l.Add(cowslipbend.Invalid("--for", o.LoadTime.String()+" is too short", "give 1s or more"))
	}
	if o.LeaseCap < 0 {
		l.Add(cowslipbend.Invalid("--cap", "is below zero", "give a time, at least the lease"))
	}
	return l.Err()
}

func (o *Options) applyToEntry(s *entry.Settings) {
	if o.Routing != "" {
		s.Routing = o.Routing
	}
	if o.LeaseCap > 0 {
		s.LeaseCap = o.LeaseCap
	}
}

func (o *Options) applyToAgent(s *agent.Settings) {
	if o.Guard != "" {
		s.Guard = throttler.Mode(o.Guard)
	}
}

// entryTimeout bounds one operator call to an entry.
const entryTimeout = 5 * cowslipbend.Second

// Run runs one experiment and returns its result. Broken invariants are part of the
// result and no error.
func Run(ctx context.Context, o Options) (reporter.Result, error) {
	if err := o.Check(); err != nil {
		return reporter.Result{}, err
	}
	f, err := firm.Get(o.Firm)
	if err != nil {
		return reporter.Result{}, err
	}
	c, err := findScenario(o.Case)
	if err != nil {
		return reporter.Result{}, err
	}
	if o.LoadTime == 0 {
		o.LoadTime = c.Length
	}
	s, err := Start(ctx, o, f)
	if err != nil {
		return reporter.Result{}, err
	}
	r, err := s.runCase(ctx, c)
	if stopErr := s.Stop(); err == nil {
		err = stopErr
	}
	return r, err
}

// runCase publishes the declarations, applies the case, waits for the accepted
// tasks, and returns the result.
func (s *System) runCase(ctx context.Context, c scenario) (reporter.Result, error) {
	balancer := load.NewBalancer(s.URLs(), timer.Host{})
	callers := load.New(load.DefaultOptions(s.firm, s.opts.Seed), balancer, s.judge)
	mix := load.Mix{NoisyPercent: c.NoisyPercent, Misdeclared: c.Misdeclared, Urgent: true}
	submitter := load.NewSubmitter(s.firm, balancer, mix, s.opts.Seed, timer.Host{})
	p := &player{
		System: s, callers: callers, submitter: submitter, balancer: balancer, scale: float64(s.opts.LoadTime) / float64(c.Length),
	}
	if err := s.prepare(ctx); err != nil {
		return reporter.Result{}, err
	}
	before := s.usage()
	if err := p.applyLoad(ctx, c); err != nil {
		return reporter.Result{}, err
	}
	after := s.usage()
	if s.opts.CancelOpen {
		submitter.CancelAll(ctx)
	}
	jobs := p.awaitOpenTasks(ctx)
	return p.result(jobs, before, after), nil
}

// applyLoad runs the callers, the submitter of batch and the steps of the case for
// LoadTime.
func (p *player) applyLoad(ctx context.Context, c scenario) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.LoadTime.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.balancer.Run(ctx) })
	if p.opts.Only != OnlyBatch {
		g.Go(func() error { return p.callers.Run(ctx) })
	}
	if p.opts.Only != OnlyServices {
		g.Go(func() error { return p.submitter.Run(ctx) })
	}
	g.Go(func() error { return p.playSteps(ctx, c.Steps) })
	g.Go(func() error { return p.reportProgress(ctx) })
	return g.Wait()
}

// progressInterval is the time between two lines of progress.
const progressInterval = 2 * cowslipbend.Second

func (p *player) reportProgress(ctx context.Context) error {
	return timer.Every(ctx, timer.Host{}, progressInterval, func(context.Context) error {
		t := p.callers.Tally()
		useful, _ := p.BatchCPU()
		if p.opts.Progress != nil {
			fmt.Fprintf(p.opts.Progress, "calls %d refused %d unknown %d late %d p99 %.1f ms, batch %.0f cpu-seconds\n",
				t.Calls, t.Refused, t.Unknown, t.Late, t.P99, useful)
		}
		return nil
	})
}

// prepare publishes the firm's declarations and waits until its replicas run.
func (s *System) prepare(ctx context.Context) error {
	files, err := s.declarations(0)
	if err != nil {
		return err
	}
	op := operator.New(s.URLs()[0], "", entryTimeout)
	if _, err := op.Publish(ctx, 0, files); err != nil {
		return err
	}
	return s.awaitReplicas(ctx, op)
}

// declarations returns the firm's declarations with the placement policy of the
// options. They differ by revision in a rate limit that is never reached.
func (s *System) declarations(rev int64) (checker.Files, error) {
	files, err := s.firm.Files()
	if err != nil {
		return nil, err
	}
	files[poolFile] = append(files[poolFile], []byte("policy: "+s.opts.Policy+"\n")...)
	for name, data := range files {
		files[name] = []byte(strings.Replace(string(data), "rate: 20000", fmt.Sprintf("rate: %d", 20000+rev), 1))
	}
	return files, nil
}

// poolFile is the declaration to which the placement policy is added.
const poolFile = "pool.yaml"

const (
	readyTimeout  = 30 * time.Second
	settleTimeout = 60 * time.Second
	pollInterval  = cowslipbend.Second / 4
	warmUpTime    = 2 * cowslipbend.Second
)

// awaitReplicas waits until as many replicas run as there are workers, and then for
// the warm-up time.
func (s *System) awaitReplicas(ctx context.Context, op *operator.Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		jobs, err := op.Jobs(ctx, s.firm.Pool)
		if err == nil && runningReplicas(jobs) >= s.firm.Workers {
			timer.Sleep(ctx, timer.Host{}, warmUpTime)
			return nil
		}
		if !timer.Sleep(ctx, timer.Host{}, pollInterval) {
			return cowslipbend.Failf(cowslipbend.KindLate, err, "read the log with --log debug", "not all service replicas ran within the ready timeout")
		}
	}
}

func runningReplicas(jobs []administrator.Job) int {
	n := 0
	for _, j := range jobs {
		if !j.Batch() {
			n += j.Phases[cowslipbend.Running]
		}
	}
	return n
}

// awaitOpenTasks waits until no accepted task is open or the settle timeout has
// passed, and returns the last listing of jobs.
func (p *player) awaitOpenTasks(ctx context.Context) []administrator.Job {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var lastListing []administrator.Job
	for i := 0; ; i++ {
		urls := p.URLs()
		jobs, err := operator.New(urls[i%len(urls)], "", entryTimeout).Jobs(ctx, p.firm.Pool)
		if err == nil {
			lastListing = jobs
			if load.OpenTasks(jobs, p.submitter.Accepted()) == 0 {
				return jobs
			}
		}
		if !timer.Sleep(ctx, timer.Host{}, pollInterval) {
			return lastListing
		}
	}
}

func (s *System) usage() reporter.Usage {
	u := reporter.Usage{At: judge.Now(), ProcessCPU: reporter.ProcessorTime()}
	u.Reads, u.Writes = s.platform.Table.Counts()
	u.BatchCPU, _ = s.BatchCPU()
	return u
}

func (p *player) result(jobs []administrator.Job, before, after reporter.Usage) reporter.Result {
	o := p.opts
	h := p.judge.History()
	for _, f := range h.Faults() {
		p.log.Error("the judge found a broken invariant", "counter", f.Counter, "why", f.Why, "event", fmt.Sprintf("%+v", f.Event))
	}
	return reporter.Summarise(reporter.Input{
		Firm: o.Firm, Case: o.Case, Policy: o.Policy, Routing: o.Routing, Guard: o.Guard, Only: o.Only, Seed: o.Seed,
		Tally: p.callers.Tally(), History: h, Jobs: jobs, Accepted: p.submitter.Accepted(), RefusedJobs: p.submitter.Refused(),
		Before: before, After: after, PublishLatencies: p.rollouts.all(),
	})
}
