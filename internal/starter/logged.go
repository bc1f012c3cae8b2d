package starter

import (
	"context"
	"io"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev/internal/logwriter"
)

// Logged runs a program that logs to the stream without ever waiting for it.
// Reload is called on every SIGHUP.
func Logged(ctx context.Context, name, level string, to io.Writer, reload func(hclog.Logger), run func(context.Context, hclog.Logger) error) error {
	out := logwriter.New(to)
	log, err := Logger(name, level, out)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(out.Run)
	reloads, stop := context.WithCancel(ctx)
	g.Go(func() error { return Reload(reloads, func() { reload(log) }) })
	err = run(ctx, log)
	stop()
	out.Close()
	_ = g.Wait() // Its functions return no errors.
	return err
}
