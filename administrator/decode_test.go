package administrator

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// FuzzDecode checks that a body of the operators' protocol either returns
// KindInvalid or decodes to a job that is equal after a round trip.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		`{"id":"a","pool":"p","team":"t","class":"c","tasks":1,"size":{"cpu":"1500m","mem":"1G"},"length":"90s"}`,
		`{"id":"a"} {}`, `{"id":"a"`, `{"rank":1}`, `{"size":{"cpu":"NaN"}}`, `null`, `[]`, `{"length":5}`, ``,
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var job cowslipbend.Job
		if err := Decode(strings.NewReader(text), &job); err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid)
			return
		}
		data, err := json.Marshal(job)
		assert.NilError(t, err)
		var decoded cowslipbend.Job
		assert.NilError(t, Decode(strings.NewReader(string(data)), &decoded))
		assert.Equal(t, decoded, job)
	})
}
