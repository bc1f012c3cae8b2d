package timer

import (
	"context"

	"cowslipbend.dev"
)

// Every calls f once per interval, the first time after one interval. It returns
// nil when the context ends, or the first error of f.
func Every(ctx context.Context, c cowslipbend.Clock, interval cowslipbend.Span, f func(context.Context) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.After(interval):
		}
		if err := f(ctx); err != nil {
			return err
		}
	}
}

// Sleep waits for the span. It reports whether the span has passed, which is
// false if the context ended first.
func Sleep(ctx context.Context, c cowslipbend.Clock, s cowslipbend.Span) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.After(s):
		return true
	}
}
