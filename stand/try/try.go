// Package try runs the whole system on loopback with its stand-ins, plays a
// case of one of the firms against it, and sums up what happened.
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

// Options say what to try.
type Options struct {
	Firm   string
	Case   string
	Policy string
	// Routing and Guard choose policies of entries and agents; empty keeps
	// the usual ones.
	Routing string
	Guard   string
	// Cap is the cap of leases that witnesses extend; 0 keeps the usual one.
	Cap cowslipbend.Span
	// Cancel cancels what is open after the load instead of waiting for it.
	Cancel bool
	// Only plays services or batch alone.
	Only string
	// For is how long callers call; 0 is the case's own length.
	For  cowslipbend.Span
	Seed uint64
	// Progress gets a line now and then; nil for none.
	Progress io.Writer
	Log      hclog.Logger
}

// The values of Only.
const (
	OnlyServices = "services"
	OnlyBatch    = "batch"
)

// Check returns all faults at once.
func (o *Options) Check() error {
	var l cowslipbend.Errors
	_, err := firm.Get(o.Firm)
	l.Add(err)
	_, err = find(o.Case)
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
	if o.For < 0 || (o.For > 0 && o.For < cowslipbend.Second) {
		l.Add(cowslipbend.Invalid("--for", o.For.String()+" is too short", "give 1s or more"))
	}
	if o.Cap < 0 {
		l.Add(cowslipbend.Invalid("--cap", "is below zero", "give a time, at least the lease"))
	}
	return l.Err()
}

func (o *Options) entry(s *entry.Settings) {
	if o.Routing != "" {
		s.Routing = o.Routing
	}
	if o.Cap > 0 {
		s.Cap = o.Cap
	}
}

func (o *Options) agent(s *agent.Settings) {
	if o.Guard != "" {
		s.Guard = throttler.Mode(o.Guard)
	}
}

// opTimeout bounds one call to an entry.
const opTimeout = 5 * cowslipbend.Second

// Run runs one try.
func Run(ctx context.Context, o Options) (reporter.Result, error) {
	if err := o.Check(); err != nil {
		return reporter.Result{}, err
	}
	f, err := firm.Get(o.Firm)
	if err != nil {
		return reporter.Result{}, err
	}
	c, err := find(o.Case)
	if err != nil {
		return reporter.Result{}, err
	}
	if o.For == 0 {
		o.For = c.Length
	}
	s, err := Start(ctx, o, f)
	if err != nil {
		return reporter.Result{}, err
	}
	r, err := s.try(ctx, c)
	if stopErr := s.Stop(); err == nil {
		err = stopErr
	}
	return r, err
}

// try publishes, plays the case, lets batch finish, and sums up.
func (s *System) try(ctx context.Context, c scenario) (reporter.Result, error) {
	balancer := load.NewBalancer(s.URLs(), timer.Host{})
	callers := load.New(load.Usual(s.firm, s.opts.Seed), balancer, s.judge)
	mix := load.Mix{Noisy: c.Noisy, Misdeclared: c.Misdeclared, Urgent: true}
	batch := load.NewBatch(s.firm, balancer, mix, s.opts.Seed, timer.Host{})
	p := &player{
		System: s, callers: callers, batch: batch, balancer: balancer, scale: float64(s.opts.For) / float64(c.Length),
	}
	if err := s.prepare(ctx); err != nil {
		return reporter.Result{}, err
	}
	before := s.usage()
	if err := p.underLoad(ctx, c); err != nil {
		return reporter.Result{}, err
	}
	after := s.usage()
	if s.opts.Cancel {
		batch.CancelAll(ctx)
	}
	jobs := p.settle(ctx)
	return p.sum(jobs, before, after), nil
}

// underLoad plays callers, batch and the steps for the time of the try.
func (p *player) underLoad(ctx context.Context, c scenario) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.For.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.balancer.Run(ctx) })
	if p.opts.Only != OnlyBatch {
		g.Go(func() error { return p.callers.Run(ctx) })
	}
	if p.opts.Only != OnlyServices {
		g.Go(func() error { return p.batch.Run(ctx) })
	}
	g.Go(func() error { return p.play(ctx, c.Steps) })
	g.Go(func() error { return p.report(ctx) })
	return g.Wait()
}

// reportPeriod is the time between two lines of progress.
const reportPeriod = 2 * cowslipbend.Second

func (p *player) report(ctx context.Context) error {
	return timer.Every(ctx, timer.Host{}, reportPeriod, func(context.Context) error {
		t := p.callers.Tally()
		useful, _ := p.Progress()
		if p.opts.Progress != nil {
			fmt.Fprintf(p.opts.Progress, "calls %d refused %d unknown %d late %d p99 %.1f ms, batch %.0f cpu-seconds\n",
				t.Calls, t.Refused, t.Unknown, t.Late, t.P99, useful)
		}
		return nil
	})
}

// prepare publishes the firm's set and waits for its replicas.
func (s *System) prepare(ctx context.Context) error {
	files, err := s.files(0)
	if err != nil {
		return err
	}
	op := operator.New(s.URLs()[0], "", opTimeout)
	if _, err := op.Publish(ctx, 0, files); err != nil {
		return err
	}
	return s.await(ctx, op)
}

// files returns the firm's declarations with the policy of the try. Each
// revision changes a rate that is never reached.
func (s *System) files(rev int64) (checker.Files, error) {
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

// poolFile is the declaration that a try's policy is added to.
const poolFile = "pool.yaml"

// Times of a try.
const (
	readyTimeout  = 30 * time.Second
	settleTimeout = 60 * time.Second
	look          = cowslipbend.Second / 4
	warmUp        = 2 * cowslipbend.Second
)

// await waits until every replica of the service runs.
func (s *System) await(ctx context.Context, op *operator.Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		jobs, err := op.Jobs(ctx, s.firm.Pool)
		if err == nil && running(jobs) >= s.firm.Workers {
			timer.Sleep(ctx, timer.Host{}, warmUp)
			return nil
		}
		if !timer.Sleep(ctx, timer.Host{}, look) {
			return cowslipbend.Failf(cowslipbend.KindLate, err, "look at the log with --log debug", "services did not start in time")
		}
	}
}

func running(jobs []administrator.Job) int {
	n := 0
	for _, j := range jobs {
		if !j.Batch() {
			n += j.Phases[cowslipbend.Running]
		}
	}
	return n
}

// settle waits until no accepted task is open, and returns the listing.
func (p *player) settle(ctx context.Context) []administrator.Job {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var last []administrator.Job
	for i := 0; ; i++ {
		urls := p.URLs()
		jobs, err := operator.New(urls[i%len(urls)], "", opTimeout).Jobs(ctx, p.firm.Pool)
		if err == nil {
			last = jobs
			if load.Open(jobs, p.batch.Accepted()) == 0 {
				return jobs
			}
		}
		if !timer.Sleep(ctx, timer.Host{}, look) {
			return last
		}
	}
}

func (s *System) usage() reporter.Usage {
	u := reporter.Usage{At: judge.Now(), ProcessCPU: reporter.ProcessorTime()}
	u.Reads, u.Writes = s.platform.Table.Counts()
	u.BatchCPU, _ = s.Progress()
	return u
}

func (p *player) sum(jobs []administrator.Job, before, after reporter.Usage) reporter.Result {
	o := p.opts
	h := p.judge.Events()
	for _, f := range h.Faults() {
		p.log.Error("an invariant is broken", "counter", f.Counter, "why", f.Why, "event", fmt.Sprintf("%+v", f.Event))
	}
	return reporter.Summarise(reporter.Input{
		Firm: o.Firm, Case: o.Case, Policy: o.Policy, Routing: o.Routing, Guard: o.Guard, Only: o.Only, Seed: o.Seed,
		Tally: p.callers.Tally(), History: h, Jobs: jobs, Accepted: p.batch.Accepted(), Impossible: p.batch.Refused(),
		Before: before, After: after, PublishLatencies: p.spreads.all(),
	})
}
