package receiver

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/router"
)

func FuzzParse(f *testing.F) {
	f.Add("/call/s/path", "team", "id", "100", "1", "")
	f.Add("/call/", "", "", "", "", "")
	f.Add("/call/s", "a b", "", "-1", "yes", "1")
	f.Add("/call/%zz/..", "team", strings.Repeat("x", 200), "86400001", "1", "1")
	f.Fuzz(func(t *testing.T, path, team, id, deadline, once, watch string) {
		h := http.Header{}
		h.Set(cowslipbend.HeaderTeam, team)
		h.Set(cowslipbend.HeaderID, id)
		h.Set(cowslipbend.HeaderDeadline, deadline)
		h.Set(cowslipbend.HeaderOnce, once)
		h.Set(cowslipbend.HeaderWatch, watch)
		req, err := parse(&http.Request{Header: h, URL: &url.URL{Path: path}})
		if err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
			return
		}
		assert.NilError(t, cowslipbend.CheckName("team", string(req.Team)))
		assert.Assert(t, !req.NonIdempotent || (req.ID != "" && !req.Watch))
		assert.Assert(t, req.Timeout >= 0 && req.Timeout <= maxDeadline)
	})
}

func TestBuffer(t *testing.T) {
	bufferRequest := func(body string, length int64, once bool) (*router.Request, error) {
		h := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		h.ContentLength = length
		req := &router.Request{NonIdempotent: once, Body: h.Body}
		return req, bufferBody(httptest.NewRecorder(), h, req)
	}
	big := strings.Repeat("x", maxReplayableBytes+1)
	t.Run("buffers a small body", func(t *testing.T) {
		for _, length := range []int64{4, -1} {
			req, err := bufferRequest("body", length, true)
			assert.NilError(t, err)
			assert.Assert(t, req.Replayable)
			assert.Equal(t, string(req.Buffered), "body")
		}
	})
	t.Run("refuses a truncated body", func(t *testing.T) {
		_, err := bufferRequest("body", 10, false)
		assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
	})
	t.Run("refuses a large body of a non-idempotent request", func(t *testing.T) {
		for _, length := range []int64{int64(len(big)), -1} {
			_, err := bufferRequest(big, length, true)
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
		}
	})
	t.Run("streams a large body", func(t *testing.T) {
		for _, length := range []int64{int64(len(big)), -1} {
			req, err := bufferRequest(big, length, false)
			assert.NilError(t, err)
			assert.Assert(t, !req.Replayable)
		}
	})
}
