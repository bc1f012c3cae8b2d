package registrar_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/registrar"
	"cowslipbend.dev/timer"
)

const validAnnouncement = `{"id":"e","service":"s","url":"http://127.0.0.1:1","slots":8,"conns":64}`

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		validAnnouncement, `{}`, ``, `{"id":"e"`, `{"id":1}`, validAnnouncement + validAnnouncement, `{"extra":1}`,
		`{"id":"e","service":"s","url":"ftp://x","slots":-1,"conns":99999999}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		a, err := registrar.Decode(strings.NewReader(text))
		if err == nil {
			assert.NilError(t, a.Check())
			return
		}
		for _, e := range errorsOf(err) {
			assert.Equal(t, e.Kind, cowslipbend.KindInvalid)
			assert.Assert(t, e.Remedy != "")
		}
	})
}

func errorsOf(err error) cowslipbend.Errors {
	var l cowslipbend.Errors
	l.Add(err)
	return l
}

func TestProtocol(t *testing.T) {
	gate := admitter.New("l", &timer.Manual{}, admitter.Defaults())
	mux := http.NewServeMux()
	registrar.Register(mux, gate)
	send := func(method, path, body string) int {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	t.Run("refuses invalid input and changes nothing", func(t *testing.T) {
		for _, body := range []string{``, `{"id":"e"`, validAnnouncement[:len(validAnnouncement)-1] + `,"more":1}`, validAnnouncement + "x", strings.Repeat(" ", 1<<20) + validAnnouncement, `{"id":2}`} {
			assert.Equal(t, send(http.MethodPost, "/announce", body), http.StatusBadRequest, "%.80q", body)
		}
		assert.Equal(t, len(gate.Endpoints()), 0)
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(`{"id":"e","service":"s"}`)))
		for _, fault := range []string{"url", "slots", "conns"} {
			assert.Assert(t, strings.Contains(w.Body.String(), fault), "not all faults are reported at once: %s", w.Body)
		}
		assert.Equal(t, send(http.MethodDelete, "/announce/e", ""), http.StatusNotFound)
	})
	t.Run("announces and withdraws", func(t *testing.T) {
		assert.Equal(t, send(http.MethodPost, "/announce", validAnnouncement), http.StatusNoContent)
		assert.Equal(t, len(gate.Endpoints()), 1)
		assert.Equal(t, send(http.MethodDelete, "/announce/e", ""), http.StatusNoContent)
		assert.Assert(t, gate.Endpoints()[0].Leaving)
	})
}
