package storer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/piper"
)

// TestLargeObjectOverNarrowLink guards against objects that can never be read or
// written because their transfer takes longer than a call may wait.
func TestLargeObjectOverNarrowLink(t *testing.T) {
	const (
		timeout    = 2 * cowslipbend.Second
		linkRate   = 1_250_000 // bytes per second, 10 Mbit/s
		objectSize = 3 * linkRate
	)
	synctest.Test(t, func(t *testing.T) {
		object := make([]byte, objectSize)
		handler := http.NewServeMux()
		handler.HandleFunc("GET /objects/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(object) })
		handler.HandleFunc("PUT /objects/x", func(_ http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(objectSize))
		})
		c := newClient("http://store", piper.Client(t, piper.Link{Rate: linkRate}, handler), timeout)
		data, err := c.Objects().Get(t.Context(), "x")
		assert.NilError(t, err)
		assert.Equal(t, len(data), objectSize)
		assert.NilError(t, c.Put(t.Context(), "x", object))
	})
}

// TestObjectAboveLimit guards against an object whose first part is taken for the whole.
func TestObjectAboveLimit(t *testing.T) {
	const part = 1 << 20
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range maxReply/part + 1 {
			_, _ = w.Write(make([]byte, part))
		}
	}))
	defer srv.Close()
	c := New(srv.URL, 10*cowslipbend.Second)
	defer c.Close()
	_, err := c.Objects().Get(t.Context(), "x")
	assert.ErrorContains(t, err, "larger than 67108864 bytes")
}
