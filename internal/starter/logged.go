package starter

import (
	"context"
	"io"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev/internal/logwriter"
)

// RunWithLogger calls run with a logger that writes to the stream without ever
// blocking, and returns its error. While run runs, every SIGHUP calls reload.
func RunWithLogger(ctx context.Context, name, level string, to io.Writer, reload func(hclog.Logger), run func(context.Context, hclog.Logger) error) error {
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
