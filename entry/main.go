// Command entry runs on each entry host. It serves callers and operators and
// owns pools: the owner of a pool schedules its tasks.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/entry/runner"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/timer"
)

func main() { os.Exit(starter.Main(command(), os.Args)) }

func command() *cli.Command {
	d := runner.Defaults()
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers and operators, and schedule the tasks of pools",
		Flags: []cli.Flag{
			starter.String("id", "", "name of this entry"),
			starter.String("domain", "", "failure domain of this entry"),
			starter.String("listen", d.Listen, "IP:PORT for callers, operators, agents and entries"),
			starter.String("store", d.Store, "URL of the platform's table and objects"),
			&cli.StringSliceFlag{Name: "peer", Usage: "URL of another entry, used to find the others when starting while the store is unavailable; repeatable", Sources: starter.Env("peer")},
			starter.String("secret", "", "secret shared by the processes of the system"),
			starter.String("log", d.Log, "level of the log"),
			starter.String("routing", d.Routing, "routing policy: adaptive, leastinflight or random"),
			starter.Int("retries", d.RetryPercent, "percentage of requests that may be retried after an attempt that may have run"),
			starter.Span("lease", d.LeaseLength, "length of batch leases (L)"),
			starter.Span("cap", d.LeaseCap, "longest time since the last confirmation by the store for which witnesses may extend leases (H)"),
			starter.Span("delay", d.BalancerDelay, "time for the load balancer to notice that this entry is leaving"),
			starter.Span("drain", d.DrainTimeout, "time for requests in flight to finish after that delay"),
			starter.Int("conns", d.MaxConns, "connections that a listener has at a time; beyond them, those that wait for their peer are closed; 0 means no limit"),
			starter.Int("bodies", int(d.MaxBodies/cowslipbend.MB), "memory in MB that the bodies of requests to a listener may take in all, until they have been handled; 0 means no limit"),
		},
		Commands: []*cli.Command{platformCommand()},
		Before:   starter.DeferFaults,
		Action:   run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s := runner.Settings{
		ID: cowslipbend.EntryID(c.String("id")), Domain: cowslipbend.Domain(c.String("domain")),
		Listen: c.String("listen"), Store: c.String("store"), Peers: c.StringSlice("peer"), Secret: c.String("secret"), Log: c.String("log"),
		Routing: c.String("routing"), RetryPercent: c.Int("retries"), LeaseLength: cowslipbend.SpanOf(c.Duration("lease")), LeaseCap: cowslipbend.SpanOf(c.Duration("cap")),
		BalancerDelay: cowslipbend.SpanOf(c.Duration("delay")), DrainTimeout: cowslipbend.SpanOf(c.Duration("drain")),
		MaxConns: c.Int("conns"), MaxBodies: cowslipbend.Bytes(c.Int("bodies")) * cowslipbend.MB,
	}
	log, err := starter.Logger("entry", s.Log, os.Stderr)
	if err := starter.Faults(c, s.Check(), err); err != nil {
		return err
	}
	return runner.Run(ctx, s, timer.Host{}, log)
}
