package main

import (
	"context"
	"net/http"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/server"
	"cowslipbend.dev/internal/starter"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a table, objects and the judge; POST /fault sets the fault to inject",
		Flags: []cli.Flag{
			starter.String("listen", "127.0.0.1:7000", "IP:PORT to serve on"),
			seedFlag(),
			starter.String("log", "info", "level of the log"),
		},
		Action: runPlatform,
	}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices of the stand", Sources: starter.Env("seed")}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	log, err := checkSettings(c, "platform", server.CheckBind("--listen", c.String("listen"), ""))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", platform.New(c.Uint64("seed")).Handler())
	mux.Handle("/judge/", judge.New().Handler())
	return serve(ctx, c.String("listen"), mux, log)
}

// checkSettings returns the logger of a command, or an error that lists every
// invalid setting.
func checkSettings(c *cli.Command, name string, checks ...error) (hclog.Logger, error) {
	var l cowslipbend.Errors
	for _, err := range checks {
		l.Add(err)
	}
	log, err := starter.Logger(name, c.String("log"), os.Stderr)
	l.Add(err)
	return log, l.Err()
}

// serve serves until the context ends, and then waits for requests in flight
// for at most shutdownTimeout.
func serve(ctx context.Context, addr string, mux *http.ServeMux, log hclog.Logger) error {
	server.HandleOps(mux, prometheus.NewRegistry(), func() error { return nil })
	srv, err := server.Listen(addr, mux)
	if err != nil {
		return err
	}
	log.Info("serving", "url", srv.URL())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(srv.Run)
	g.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout.Duration())
		defer cancel()
		srv.Shutdown(shutdownCtx)
		return nil
	})
	return g.Wait()
}

// shutdownTimeout bounds the wait for requests in flight after SIGTERM.
const shutdownTimeout = 2 * cowslipbend.Second
