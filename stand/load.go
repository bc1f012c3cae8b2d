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
		Usage: "send requests and batch jobs to entries, and print one result line with the verdict of the judge",
		Flags: []cli.Flag{
			starter.String("firm", "fraser", "fraser or easement; its declarations must have been published"),
			&cli.StringSliceFlag{Name: "entry", Value: []string{"http://127.0.0.1:7001"}, Usage: "URL of an entry, repeatable", Sources: starter.Env("entry")},
			starter.String("judge", "http://127.0.0.1:7000", "URL of stand platform"),
			starter.Span("for", 20*cowslipbend.Second, "how long load is generated"),
			&cli.FloatFlag{Name: "rate", Value: 300, Usage: "requests per second", Sources: starter.Env("rate")},
			starter.Span("settle", cowslipbend.Minute, "how long accepted batch jobs may take to finish after the load"),
			seedFlag(),
			starter.String("log", "info", "level of the log"),
		},
		Action: runLoad,
	}
}

// remoteSystem generates load on a system that runs in other processes.
type remoteSystem struct {
	firm        firm.Firm
	judge       *judge.Client
	platformURL string // serves the judge and the counts of the table
	callers     *load.Callers
	submitter   *load.Submitter
	balancer    *load.Balancer
}

// maxRate is the highest rate of requests per second.
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
		checks = append(checks, cowslipbend.Invalid("--rate", "is out of bounds", "give 1 to 100000 requests per second"))
	}
	if _, err := checkSettings(c, "load", checks...); err != nil {
		return err
	}
	seed := c.Uint64("seed")
	r := &remoteSystem{firm: f, platformURL: c.String("judge"), judge: judge.NewClient(c.String("judge"), cowslipbend.DrawID())}
	r.balancer = load.NewBalancer(c.StringSlice("entry"), timer.Host{})
	opts := load.DefaultOptions(f, seed)
	opts.Rate = c.Float("rate")
	r.callers = load.New(opts, r.balancer, r.judge)
	r.submitter = load.NewSubmitter(f, r.balancer, load.Mix{Urgent: true}, seed, timer.Host{})
	result, err := r.run(ctx, cowslipbend.SpanOf(c.Duration("for")), cowslipbend.SpanOf(c.Duration("settle")), seed)
	if err != nil {
		return err
	}
	return writeResult(result)
}

// writeResult prints the result line. It returns an error if an invariant is
// broken.
func writeResult(r reporter.Result) error {
	if err := r.Write(os.Stdout); err != nil {
		return err
	}
	if r.Broken() {
		return cowslipbend.Fail(cowslipbend.KindBroken, "an invariant is broken", "run it again with --log info and the same seed")
	}
	return nil
}

func (r *remoteSystem) run(ctx context.Context, length, settleTimeout cowslipbend.Span, seed uint64) (reporter.Result, error) {
	before := r.usage(ctx)
	if err := r.load(ctx, length); err != nil {
		return reporter.Result{}, err
	}
	after := r.usage(ctx)
	jobs := r.waitForBatch(ctx, settleTimeout)
	r.judge.Flush(ctx)
	timer.Sleep(ctx, timer.Host{}, cowslipbend.Second) // Workers may still have to post their last events.
	h, err := r.judge.History(ctx)
	if err != nil {
		return reporter.Result{}, err
	}
	for _, f := range h.Faults() {
		_ = json.NewEncoder(os.Stderr).Encode(f)
	}
	after.BatchCPU = finishedCPU(h, before.At, after.At)
	return reporter.Summarise(reporter.Input{
		Firm: r.firm.Name, Case: "processes", Seed: seed, Tally: r.callers.Tally(), History: h, Jobs: jobs,
		Accepted: r.submitter.Accepted(), RefusedJobs: r.submitter.Refused(), Before: before, After: after,
	}), nil
}

// finishedCPU returns the CPU time, in seconds, of the tasks that finished
// between two moments.
func finishedCPU(h judge.History, from, to judge.Moment) float64 {
	var sum cowslipbend.CPUTime
	for _, e := range h.Events {
		if e.Kind == judge.Finished && e.At >= from && e.At <= to {
			sum += e.CPU
		}
	}
	return float64(sum) / float64(cowslipbend.Second)
}

// load runs the callers and the submitter of batch jobs for the length.
func (r *remoteSystem) load(ctx context.Context, length cowslipbend.Span) error {
	ctx, cancel := context.WithTimeout(ctx, length.Duration())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.balancer.Run(ctx) })
	g.Go(func() error { return r.callers.Run(ctx) })
	g.Go(func() error { return r.submitter.Run(ctx) })
	g.Go(func() error { return r.judge.Run(ctx, timer.Host{}) })
	return g.Wait()
}

// usage reads the counts of the platform's table. They are zero if it does not
// answer.
func (r *remoteSystem) usage(ctx context.Context) reporter.Usage {
	u := reporter.Usage{At: judge.Now(), ProcessCPU: reporter.ProcessorTime()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.platformURL+"/counts", nil)
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

// waitForBatch waits until no accepted task is open or the timeout has passed,
// and returns the last listing of jobs.
func (r *remoteSystem) waitForBatch(ctx context.Context, timeout cowslipbend.Span) []administrator.Job {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var lastListing []administrator.Job
	for {
		jobs, err := operator.New(r.balancer.Next(), "", entryTimeout).Jobs(ctx, r.firm.Pool)
		if err == nil {
			lastListing = jobs
			if load.OpenTasks(jobs, r.submitter.Accepted()) == 0 {
				return lastListing
			}
		}
		if !timer.Sleep(ctx, timer.Host{}, batchPollInterval) {
			return lastListing
		}
	}
}

// Timing of operator calls to entries.
const (
	entryTimeout      = 5 * cowslipbend.Second
	batchPollInterval = cowslipbend.Second / 2
)
