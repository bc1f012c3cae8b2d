package dialer_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/piper"
)

const (
	replyTimeout = 500 * cowslipbend.Millisecond
	linkRate     = 100_000 // bytes per second
	largeBody    = 300_000 // bytes, 3 s over the link
)

// call posts a body over a link and returns the size of the reply and the time that
// the call took.
func call(ctx context.Context, t *testing.T, link piper.Link, requestSize int, handler http.HandlerFunc) (int, time.Duration, error) {
	t.Helper()
	client := dialer.Watched(piper.Client(t, link, handler), replyTimeout)
	startedAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://peer/", bytes.NewReader(make([]byte, requestSize)))
	assert.NilError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return 0, time.Since(startedAt), err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return len(data), time.Since(startedAt), err
}

// assertTook checks that a call took as long as expected, up to the time in which a
// link passes headers or the bytes of one read.
func assertTook(t *testing.T, took, want time.Duration) {
	t.Helper()
	const slack = 50 * time.Millisecond
	assert.Assert(t, (took-want).Abs() <= slack, "took %v, expected %v", took, want)
}

func reply(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, size))
	}
}

// silence returns a handler that doesn't reply.
func silence(t *testing.T) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) { <-t.Context().Done() }
}

// TestWatched guards against calls that fail only because their bodies are large, and
// against calls that wait for a dead connection.
func TestWatched(t *testing.T) {
	run := func(name string, test func(*testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
	}
	run("a large reply takes as long as it needs", func(t *testing.T) {
		size, took, err := call(t.Context(), t, piper.Link{Rate: linkRate}, 0, reply(largeBody))
		assert.NilError(t, err)
		assert.Equal(t, size, largeBody)
		assertTook(t, took, 3*time.Second)
	})
	run("a large request takes as long as it needs", func(t *testing.T) {
		_, took, err := call(t.Context(), t, piper.Link{Rate: linkRate}, largeBody, reply(1))
		assert.NilError(t, err)
		assertTook(t, took, 3*time.Second)
	})
	run("a reply that doesn't begin", func(t *testing.T) {
		_, took, err := call(t.Context(), t, piper.Link{}, 0, silence(t))
		assert.ErrorContains(t, err, "nothing was transferred for 500ms")
		assertTook(t, took, replyTimeout.Duration())
	})
	run("a reply that pauses", func(t *testing.T) {
		begin := time.Now()
		silent := func() bool { return time.Since(begin) > 1500*time.Millisecond }
		_, took, err := call(t.Context(), t, piper.Link{Rate: linkRate, Silent: silent}, 0, reply(largeBody))
		assert.ErrorContains(t, err, "nothing was transferred for 900ms")
		assertTook(t, took, 2400*time.Millisecond)
	})
	run("a request whose sending pauses", func(t *testing.T) {
		_, took, err := call(t.Context(), t, piper.Link{}, largeBody, silence(t))
		assert.ErrorContains(t, err, "nothing was transferred for 500ms")
		assertTook(t, took, replyTimeout.Duration())
	})
	run("a reply that never ends", func(t *testing.T) {
		_, took, err := call(t.Context(), t, piper.Link{}, 0, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				_, _ = w.Write([]byte("x"))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(300 * time.Millisecond)
			}
		})
		assert.ErrorContains(t, err, "transfer has not finished within 20s")
		assertTook(t, took, 20*time.Second)
	})
	run("a call whose own time ends", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, took, err := call(ctx, t, piper.Link{Rate: linkRate}, 0, reply(largeBody))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assertTook(t, took, time.Second)
	})
}
