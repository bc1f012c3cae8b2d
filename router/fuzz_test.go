package router

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func FuzzDecodeClaim(f *testing.F) {
	for _, seed := range []string{
		`{"req":"r","worker":"w","life":"l","url":"http://127.0.0.1:1","token":5,"digest":"d","wall":7}`,
		`{}`, `{"req":1}`, `{"req":"r"`, `null`, ``, `[]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decodeClaim(data)
		if err != nil {
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken)
			return
		}
		encoded, err := json.Marshal(c)
		assert.NilError(t, err)
		decoded, err := decodeClaim(encoded)
		assert.NilError(t, err)
		assert.Equal(t, decoded, c)
	})
}
