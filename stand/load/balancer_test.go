package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/timer"
)

// entry serves /readyz with the status.
func entry(t *testing.T, status int) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(srv.Close)
	return srv.URL
}

// assertTurn demands that the balancer gives exactly these, in turn.
func assertTurn(t *testing.T, b *Balancer, want ...string) {
	t.Helper()
	seen := map[string]bool{}
	for range 2 * len(want) {
		seen[b.Next()] = true
	}
	assert.Equal(t, len(seen), len(want))
	for _, url := range want {
		assert.Assert(t, seen[url])
	}
}

func TestBalancer(t *testing.T) {
	ready, leaving := entry(t, http.StatusNoContent), entry(t, http.StatusServiceUnavailable)
	t.Run("an entry that is not ready gets no calls after a look", func(t *testing.T) {
		b := NewBalancer([]string{ready, leaving}, &timer.Manual{})
		assertTurn(t, b, ready, leaving)
		b.look(context.Background())
		assertTurn(t, b, ready)
	})
	t.Run("one whose connection broke is out of turn until the next look", func(t *testing.T) {
		other := entry(t, http.StatusNoContent)
		b := NewBalancer([]string{ready, other}, &timer.Manual{})
		b.Failed(other)
		assertTurn(t, b, ready)
		b.look(context.Background())
		assertTurn(t, b, ready, other)
	})
	t.Run("the last one stays", func(t *testing.T) {
		b := NewBalancer([]string{ready}, &timer.Manual{})
		b.Failed(ready)
		assertTurn(t, b, ready)
	})
}
