package starter

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Reload calls the function on every SIGHUP until the context ends. Without a
// handler the signal would end the process.
func Reload(ctx context.Context, reload func()) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			reload()
		}
	}
}
