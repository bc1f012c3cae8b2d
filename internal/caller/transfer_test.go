package caller

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/piper"
)

// TestLargeReportOverNarrowLink guards against reports that never reach an owner
// because their transfer takes longer than a call may wait.
func TestLargeReportOverNarrowLink(t *testing.T) {
	const (
		timeout  = 1500 * cowslipbend.Millisecond
		linkRate = 1_250_000 // bytes per second, 10 Mbit/s
		bodySize = 2 * linkRate
	)
	synctest.Test(t, func(t *testing.T) {
		mux := http.NewServeMux()
		Handle(mux, "/report", func(_ context.Context, report *string) (string, error) { return *report, nil })
		c := New(nil)
		c.http = piper.Client(t, piper.Link{Rate: linkRate}, mux)
		report := strings.Repeat("x", bodySize)
		var reply string
		assert.NilError(t, c.Call(t.Context(), "http://owner/report", report, &reply, timeout))
		assert.Equal(t, len(reply), bodySize)
	})
}
