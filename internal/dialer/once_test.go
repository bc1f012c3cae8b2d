package dialer_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/dialer"
)

// TestSendOnce guards against a request that runs twice: the server closes a
// reused connection after it has received the request, upon which the transport
// would retry the request on a new connection.
func TestSendOnce(t *testing.T) {
	var requests atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	client := dialer.PooledHTTP1(1)
	send := func() error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, nil)
		assert.NilError(t, err)
		dialer.SendOnce(req)
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	assert.NilError(t, send(), "the connection is now open for reuse")
	assert.ErrorContains(t, send(), "EOF")
	assert.Equal(t, requests.Load(), int64(2))
}
