package elector

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/caller"
	"cowslipbend.dev/internal/server"
)

// TestRefusedCheckIsNoAbsence guards against an owner that is replaced at once as it has no
// memory left for the body of a health check.
func TestRefusedCheckIsNoAbsence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		server.WriteError(w, cowslipbend.Fail(cowslipbend.KindDown, "request has not run: too many bodies are arriving", "send it again"))
	}))
	c := caller.New(nil)
	defer c.Close()
	check := func() error { return c.Call(t.Context(), s.URL+PathHealth, struct{}{}, nil, pollTimeout) }
	err := check()
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindDown)
	assert.Assert(t, !isUnreachable(err))
	s.Close()
	c.Close() // A call on the open connection could have been sent.
	assert.Assert(t, isUnreachable(check()))
}
