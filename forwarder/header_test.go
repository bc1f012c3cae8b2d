package forwarder

import (
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func FuzzParseState(f *testing.F) {
	for _, seed := range []string{"8 3 64 5 4000 0 0", "8 3 64 5 4000 0", "", "8  3 64 5 4000 0 0", "-1 0 0 0 0 0 0", "9999999999 0 0 0 0 0 0", "8 3 64 5 4000 0 0 1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseState(text)
		if err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
			return
		}
		parsed, err := ParseState(FormatState(s))
		assert.NilError(t, err)
		assert.Equal(t, parsed, s)
	})
}

func FuzzParseAttempt(f *testing.F) {
	f.Add("/run/s/path", "id", "7", "100", "1")
	f.Add("/run/", "", "", "", "")
	f.Add("/run/s", "a b", "-1", "0", "yes")
	f.Add("/run/%2e%2e/x", "id", "9223372036854775808", "99999999999999", "0")
	f.Fuzz(func(t *testing.T, path, id, token, deadline, once string) {
		h := http.Header{}
		h.Set(cowslipbend.HeaderRequest, id)
		h.Set(cowslipbend.HeaderToken, token)
		h.Set(cowslipbend.HeaderDeadline, deadline)
		h.Set(cowslipbend.HeaderOnce, once)
		a, err := parse(&http.Request{Header: h, URL: &url.URL{Path: path}})
		if err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
			return
		}
		assert.NilError(t, cowslipbend.CheckName("id", string(a.ID)))
		assert.NilError(t, cowslipbend.CheckName("service", string(a.Service)))
		assert.Assert(t, a.Token >= 0 && a.timeout >= 0 && a.timeout <= maxTimeout)
		assert.Assert(t, a.path[0] == '/')
	})
}
