package supervisor

import (
	"context"

	"cowslipbend.dev/internal/recoverer"
)

// repeat runs a loop until the context ends. A loop that panics is started again: each
// of its rounds takes its state anew from the lists of the runner.
func (s *Supervisor) repeat(ctx context.Context, part string, loop func(context.Context) error) error {
	for ctx.Err() == nil {
		err := recoverer.Call(part, s.log, s.settings.Metrics, func() error { return loop(ctx) })
		if err != nil {
			s.log.Warn("supervisor starts a loop again that failed", "loop", part, "error", err)
			s.sleep(ctx, nil, renewalBackoff)
		}
	}
	return nil
}
