package starter

import (
	"context"
	"io"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev/internal/logwriter"
)

// Logged calls run with a logger to the stream that never blocks, and returns its
// error. It calls reload on every SIGHUP meanwhile.
func Logged(ctx context.Context, name, level string, to io.Writer, reload func(hclog.Logger), run func(context.Context, hclog.Logger) error) error {
	writer := logwriter.New(to)
	log, err := Logger(name, level, writer)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(writer.Run)
	reloadCtx, stop := context.WithCancel(ctx)
	g.Go(func() error { return Reload(reloadCtx, func() { reload(log) }) })
	err = run(ctx, log)
	stop()
	writer.Close()
	_ = g.Wait() // Its functions return no errors.
	return err
}
