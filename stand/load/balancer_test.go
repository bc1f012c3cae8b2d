package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/timer"
)

// startEntry starts a server that answers every request with the status, and
// returns its URL.
func startEntry(t *testing.T, status int) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(srv.Close)
	return srv.URL
}

// assertNextURLs checks that Next returns exactly these URLs within two rounds.
func assertNextURLs(t *testing.T, b *Balancer, want ...string) {
	t.Helper()
	returned := map[string]bool{}
	for range 2 * len(want) {
		returned[b.Next()] = true
	}
	assert.Equal(t, len(returned), len(want))
	for _, url := range want {
		assert.Assert(t, returned[url])
	}
}

func TestBalancer(t *testing.T) {
	ready, leaving := startEntry(t, http.StatusNoContent), startEntry(t, http.StatusServiceUnavailable)
	t.Run("an entry that is not ready is not returned after a poll", func(t *testing.T) {
		b := NewBalancer([]string{ready, leaving}, &timer.Manual{})
		assertNextURLs(t, b, ready, leaving)
		b.poll(context.Background())
		assertNextURLs(t, b, ready)
	})
	t.Run("an entry whose connection broke is not returned until the next poll", func(t *testing.T) {
		other := startEntry(t, http.StatusNoContent)
		b := NewBalancer([]string{ready, other}, &timer.Manual{})
		b.MarkFailed(other)
		assertNextURLs(t, b, ready)
		b.poll(context.Background())
		assertNextURLs(t, b, ready, other)
	})
	t.Run("the last ready entry stays although its connection broke", func(t *testing.T) {
		b := NewBalancer([]string{ready}, &timer.Manual{})
		b.MarkFailed(ready)
		assertNextURLs(t, b, ready)
	})
}
