package administrator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestForwardCutResponse guards against a response of the owner that is passed on as
// complete although its end is missing.
func TestForwardCutResponse(t *testing.T) {
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"jobs":[`))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer owner.Close()
	a := &Administrator{client: owner.Client()}
	recorder := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/jobs", nil), recorder)
	err := a.forwardBody(c, owner.URL, nil)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindUnknown)
	assert.Assert(t, !c.Response().Committed, "the caller sees status %d and %q", recorder.Code, recorder.Body)
}
