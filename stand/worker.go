package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/worker"
	"cowslipbend.dev/storer"
	"cowslipbend.dev/timer"
)

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "model a worker and its endpoints; POST /fault sets the fault to inject",
		Flags: []cli.Flag{
			starter.String("id", "", "name of the worker"),
			starter.String("firm", "fraser", "firm whose worker size is used: fraser or easement"),
			starter.String("listen", "127.0.0.1:7102", "IP:PORT for the agent"),
			starter.String("agent", "http://127.0.0.1:7101", "URL at which the agent accepts announcements"),
			starter.String("store", "http://127.0.0.1:7000", "URL of stand platform, for checkpoints and the judge"),
			starter.Span("lag", cowslipbend.Second, "age of reported measurements"),
			seedFlag(),
			starter.String("log", "info", "level of the log"),
		},
		Action: runWorker,
	}
}

// Limits and defaults of a modelled worker.
const (
	maxLag         = cowslipbend.Minute
	endpointSlots  = 8
	endpointConns  = 64
	objectsTimeout = 2 * cowslipbend.Second
)

func checkLag(lag cowslipbend.Span) error {
	if lag < 0 || lag > maxLag {
		return cowslipbend.Invalid("--lag", lag.String()+" is out of bounds", "give 0s to 1m")
	}
	return nil
}

func checkURL(path, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return cowslipbend.Invalid(path, text+" is not an http URL with a host", "give http://IP:PORT")
	}
	return nil
}

func runWorker(ctx context.Context, c *cli.Command) error {
	f, firmErr := firm.Get(c.String("firm"))
	lag := cowslipbend.SpanOf(c.Duration("lag"))
	store := c.String("store")
	log, err := checkSettings(c, "worker",
		cowslipbend.CheckName("--id", c.String("id")), firmErr, server.CheckBind("--listen", c.String("listen"), ""),
		checkURL("--agent", c.String("agent")), checkURL("--store", store), checkLag(lag),
	)
	if err != nil {
		return err
	}
	opts := worker.Options{
		ID: cowslipbend.WorkerID(c.String("id")), Size: f.Size, Agent: c.String("agent"), Lag: lag, Slots: endpointSlots, Conns: endpointConns,
		Slowdown: firm.Slowdown, Seed: c.Uint64("seed"),
	}
	events := judge.NewClient(store, cowslipbend.DrawID())
	w := worker.New(opts, timer.Host{}, events, storer.New(store, objectsTimeout).Objects(), log)
	mux := http.NewServeMux()
	mux.Handle("/", w.Handler())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.Run(ctx) })
	g.Go(func() error { return events.Run(ctx, timer.Host{}) })
	g.Go(func() error { return serve(ctx, c.String("listen"), mux, log) })
	err = g.Wait()
	events.Flush(context.WithoutCancel(ctx))
	return err
}
