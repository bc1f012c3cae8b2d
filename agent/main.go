// Command agent runs on every worker. It admits requests to the endpoints on the
// worker's host and runs tasks on the worker.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"cowslipbend.dev"
	"cowslipbend.dev/agent/runner"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/throttler"
	"cowslipbend.dev/timer"
)

func main() { os.Exit(starter.Main(command(), os.Args)) }

func command() *cli.Command {
	d := runner.Defaults()
	return &cli.Command{
		Name:  "agent",
		Usage: "admit requests to the endpoints of one worker and run its tasks",
		Flags: []cli.Flag{
			starter.String("id", "", "name of the worker"),
			starter.String("pool", "", "pool that the worker belongs to"),
			starter.String("domain", "", "failure domain of the worker"),
			starter.String("rack", "", "rack of the worker"),
			starter.String("listen", d.Listen, "IP:PORT for entries"),
			starter.String("local", d.Local, "loopback IP:PORT for the endpoints of this host"),
			starter.String("worker", d.Worker, "URL of the platform's worker on this host"),
			&cli.StringSliceFlag{Name: "entry", Value: d.Entries, Usage: "URL of an entry, repeatable", Sources: starter.Env("entry")},
			starter.String("secret", "", "secret shared by the processes of the system"),
			starter.String("log", d.Log, "level of the log"),
			starter.Span("beat", d.HeartbeatInterval, "interval between heartbeats"),
			starter.Span("poll", d.PollInterval, "interval between polls of the worker"),
			starter.String("guard", string(d.Guard), "how services are protected from batch tasks: throttle, evict or off"),
			starter.Span("drain", d.DrainTimeout, "how long requests in flight may continue after SIGTERM"),
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
		ID: cowslipbend.WorkerID(c.String("id")), Pool: cowslipbend.PoolID(c.String("pool")),
		Domain: cowslipbend.Domain(c.String("domain")), Rack: cowslipbend.Rack(c.String("rack")),
		Listen: c.String("listen"), Local: c.String("local"), Worker: c.String("worker"),
		Entries: c.StringSlice("entry"), Secret: c.String("secret"), Log: c.String("log"),
		HeartbeatInterval: cowslipbend.SpanOf(c.Duration("beat")), PollInterval: cowslipbend.SpanOf(c.Duration("poll")),
		DrainTimeout: cowslipbend.SpanOf(c.Duration("drain")), Guard: throttler.Mode(c.String("guard")),
		MaxConns: c.Int("conns"), MaxBodies: cowslipbend.Bytes(c.Int("bodies")) * cowslipbend.MB,
	}
	log, err := starter.Logger("agent", s.Log, os.Stderr)
	if err := starter.Faults(c, s.Check(), err); err != nil {
		return err
	}
	return runner.Run(ctx, s, timer.Host{}, log)
}
