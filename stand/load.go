package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/operator"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/load"
	"cowslipbend.dev/stand/platform"
	"cowslipbend.dev/stand/reporter"
	"cowslipbend.dev/timer"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "call entries and submit batch, and sum up in one line what the judge saw",
		Flags: []cli.Flag{
			starter.String("firm", "fraser", "fraser or easement; its set must be published"),
			&cli.StringSliceFlag{Name: "entry", Value: []string{"http://127.0.0.1:7001"}, Usage: "URL of an entry, repeatable", Sources: starter.Env("entry")},
			starter.String("judge", "http://127.0.0.1:7000", "URL of stand platform"),
			starter.Span("for", 20*cowslipbend.Second, "how long callers call"),
			&cli.FloatFlag{Name: "rate", Value: 300, Usage: "requests a second", Sources: starter.Env("rate")},
			starter.Span("settle", cowslipbend.Minute, "how long accepted batch may take to finish after that"),
			seedFlag(),
			starter.String("log", "info", "level of the log"),
		},
		Action: runLoad,
	}
}

// remote is a system whose processes run apart from this one.
type remote struct {
	firm     firm.Firm
	judge    *judge.Client
	base     string // of the judge
	callers  *load.Callers
	batch    *load.Batch
	balancer *load.Balancer
}

// maxRate bounds the requests a second.
const maxRate = 100_000

func runLoad(ctx context.Context, c *cli.Command) error {
	f, firmErr := firm.Get(c.String("firm"))
	checks := []error{firmErr, checkURL("--judge", c.String("judge"))}
	for _, u := range c.StringSlice("entry") {
		checks = append(checks, checkURL("--entry", u))
	}
	if c.Duration("for") < cowslipbend.Second.Duration() {
		checks = append(checks, cowslipbend.Invalid("--for", c.Duration("for").String()+" is too short", "give 1s or more"))
	}
	if c.Float("rate") <= 0 || c.Float("rate") > maxRate {
		checks = append(checks, cowslipbend.Invalid("--rate", "is out of bounds", "give 1 to 100000 requests a second"))
	}
	if _, err := settings(c, "load", checks...); err != nil {
		return err
	}
	seed := c.Uint64("seed")
	r := &remote{firm: f, base: c.String("judge"), judge: judge.NewClient(c.String("judge"), cowslipbend.DrawID())}
	r.balancer = load.NewBalancer(c.StringSlice("entry"), timer.Host{})
	opts := load.Usual(f, seed)
	opts.Rate = c.Float("rate")
	r.callers = load.New(opts, r.balancer, r.judge)
	r.batch = load.NewBatch(f, r.balancer, load.Mix{Urgent: true}, seed, timer.Host{})
	result, err := r.run(ctx, cowslipbend.SpanOf(c.Duration("for")), cowslipbend.SpanOf(c.Duration("settle")), seed)
	if err != nil {
		return err
	}
	return finish(result)
}

// finish writes the line and fails if an invariant is broken.
func finish(r reporter.Result) error {
	if err := r.Write(os.Stdout); err != nil {
		return err
	}
	if r.Broken() {
		return cowslipbend.Fail(cowslipbend.KindBroken, "an invariant is broken", "run it again with --log info and the same seed")
	}
	return nil
}

func (r *remote) run(ctx context.Context, length, settle cowslipbend.Span, seed uint64) (reporter.Result, error) {
	before := r.usage(ctx)
	if err := r.load(ctx, length); err != nil {
		return reporter.Result{}, err
	}
	after := r.usage(ctx)
	jobs := r.settle(ctx, settle)
	r.judge.Flush(ctx)
	timer.Sleep(ctx, timer.Host{}, cowslipbend.Second) // The workers post what they saw.
	h, err := r.judge.History(ctx)
	if err != nil {
		return reporter.Result{}, err
	}
	for _, f := range h.Faults() {
		_ = json.NewEncoder(os.Stderr).Encode(f)
	}
	after.BatchCPU = finished(h, before.At, after.At)
	return reporter.Summarise(reporter.Input{
		Firm: r.firm.Name, Case: "processes", Seed: seed, Tally: r.callers.Tally(), History: h, Jobs: jobs,
		Accepted: r.batch.Accepted(), Impossible: r.batch.Refused(), Before: before, After: after,
	}), nil
}

// finished returns the seconds of processor time of the tasks that finished
// between two moments.
func finished(h judge.History, from, to judge.Moment) float64 {
	var sum cowslipbend.CPUTime
	for _, e := range h.Events {
		if e.Kind == judge.Finished && e.At >= from && e.At <= to {
			sum += e.CPU
		}
	}
	return float64(sum) / float64(cowslipbend.Second)
}

// load plays callers and batch for the length.
func (r *remote) load(ctx context.Context, length cowslipbend.Span) error {
	ctx, cancel := context.WithTimeout(ctx, length.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.balancer.Run(ctx) })
	g.Go(func() error { return r.callers.Run(ctx) })
	g.Go(func() error { return r.batch.Run(ctx) })
	g.Go(func() error { return r.judge.Run(ctx, timer.Host{}) })
	return g.Wait()
}

// usage reads the counts of the platform's table; without an answer they are
// zero.
func (r *remote) usage(ctx context.Context) reporter.Usage {
	u := reporter.Usage{At: judge.Now(), ProcessCPU: reporter.ProcessorTime()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+"/counts", nil)
	if err != nil {
		return u
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u
	}
	defer resp.Body.Close()
	var counts platform.Counts
	if json.NewDecoder(resp.Body).Decode(&counts) == nil {
		u.Reads, u.Writes = counts.Reads, counts.Writes
	}
	return u
}

// settle waits until no accepted task is open, and returns the last listing.
func (r *remote) settle(ctx context.Context, longest cowslipbend.Span) []administrator.Job {
	ctx, cancel := context.WithTimeout(ctx, longest.Duration())
	defer cancel()
	var last []administrator.Job
	for {
		jobs, err := operator.New(r.balancer.Next(), "", opTimeout).Jobs(ctx, r.firm.Pool)
		if err == nil {
			last = jobs
			if load.Open(jobs, r.batch.Accepted()) == 0 {
				return last
			}
		}
		if !timer.Sleep(ctx, timer.Host{}, settleLook) {
			return last
		}
	}
}

// Times of calls to entries.
const (
	opTimeout  = 5 * cowslipbend.Second
	settleLook = cowslipbend.Second / 2
)
