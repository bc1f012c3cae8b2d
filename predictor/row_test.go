package predictor_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/predictor"
)

func encode(t *testing.T, p *predictor.Predictor) []byte {
	t.Helper()
	data, err := p.EncodeRow(0)
	assert.NilError(t, err)
	return data
}

// Guards against a new owner that starts from nothing, and against one that fails on,
// or computes with, a row that another version or a fault has written.
func TestRow(t *testing.T) {
	p := predictor.New()
	for range 100 {
		p.Learn(class, second, 3*second, 0.1, 1000)
	}
	t.Run("estimates survive", func(t *testing.T) {
		restored := predictor.New()
		n, err := restored.RestoreRow(encode(t, p), 2000)
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
		assertNear(t, restored.Expect(class, second, nil, 2000), 3*second)
	})
	t.Run("the newest classes are kept, in a bounded row", func(t *testing.T) {
		many := predictor.New()
		for i := range 2000 {
			many.Learn(predictor.Class{Queue: "q", Image: string(rune('a'+i%26)) + string(rune(0x4e00+i))}, second, 2*second, 1, cowslipbend.Time(i))
		}
		assert.Assert(t, len(encode(t, many)) < 32<<10, "%d bytes", len(encode(t, many)))
		restored := predictor.New()
		n, err := restored.RestoreRow(encode(t, many), 3000)
		assert.NilError(t, err)
		assert.Equal(t, n, 256)
	})
	t.Run("names that are escaped don't make a row larger than the store takes", func(t *testing.T) {
		many := predictor.New()
		for i := range 256 {
			many.Learn(predictor.ClassOf("q", fmt.Sprint(i, strings.Repeat("\x01", 64))), second, 2*second, 1, cowslipbend.Time(i))
		}
		assert.Assert(t, len(encode(t, many)) <= 48<<10, "%d bytes", len(encode(t, many)))
		n, err := predictor.New().RestoreRow(encode(t, many), 3000)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	})
	t.Run("an invalid row adds nothing", func(t *testing.T) {
		for _, data := range []string{
			"", "{", "{}", "[1]", `[{"q":"q","w":1,"l":8,"s":1,"d":1},{"q":"r","w":1,"l":8,"s":-1,"d":1}]`,
			`[{"q":"q","w":-1,"l":8,"s":1,"d":1}]`, `[{"q":"q","w":1,"l":800,"s":1,"d":1}]`, `[{"q":"q","w":1,"l":8,"s":1}]`,
			`[{"q":"q","w":1,"l":8,"s":1,"d":1,"t":-9223372036854775808}]`,
		} {
			restored := predictor.New()
			n, err := restored.RestoreRow([]byte(data), 0)
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken, "%s", data)
			assert.Equal(t, n, 0)
			assert.Equal(t, restored.Expect(class, second, nil, 0), second)
		}
	})
}

// Guards against rows of other writers after which no estimate is a length.
func FuzzRestoreRow(f *testing.F) {
	f.Add([]byte(`[{"q":"q","w":1,"l":8,"s":1,"d":1,"t":5}]`))
	f.Add([]byte(`[{"q":"q","w":0,"l":27,"s":100,"e":27,"d":100}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := predictor.New()
		if _, err := p.RestoreRow(data, 1000); err != nil {
			return
		}
		p.Learn(class, second, second, 1, 2000)
		assert.Assert(t, p.Expect(class, second, nil, 2000) >= 0)
		encode(t, p)
	})
}
