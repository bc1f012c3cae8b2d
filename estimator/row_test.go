package estimator_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
)

func encode(t *testing.T, e *estimator.Estimator) []byte {
	t.Helper()
	data, err := e.EncodeRow(0)
	assert.NilError(t, err)
	return data
}

// Guards against a new owner that starts from nothing, and against one that fails on,
// or computes with, a row that another version or a fault has written.
func TestRow(t *testing.T) {
	learned := estimator.New()
	simulate(learned, map[string]float64{"heavy": 3, "light": 0.2}, 120)
	t.Run("estimates survive and are published", func(t *testing.T) {
		restored := estimator.New()
		n, err := restored.RestoreRow(encode(t, learned))
		assert.NilError(t, err)
		assert.Equal(t, n, 2)
		assertNear(t, restored.Interference("web", "heavy"), learned.Interference("web", "heavy"), 0.01)
		assertNear(t, restored.TargetLoad("web", target, 1), learned.TargetLoad("web", target, 1), 0.01)
		assert.Equal(t, len(restored.PairsSince("web", 0)), 2)
	})
	t.Run("what is known already stays", func(t *testing.T) {
		e := estimator.New()
		e.UpdatePairs([]cowslipbend.ImagePair{{Serving: "web", Filling: "heavy", Interference: 1, Variance: 0.1}})
		n, err := e.RestoreRow(encode(t, learned))
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
		assert.Equal(t, e.Interference("web", "heavy"), 1.0)
	})
	t.Run("the pairs that are known best are kept, in a bounded row", func(t *testing.T) {
		many := estimator.New()
		for i := range 3000 {
			many.UpdatePairs([]cowslipbend.ImagePair{{Serving: fmt.Sprint("serving", i), Filling: "f", Interference: 1, Variance: float64(1+i) / 3000}})
		}
		data := encode(t, many)
		assert.Assert(t, len(data) <= 48<<10, "%d bytes", len(data))
		restored := estimator.New()
		n, err := restored.RestoreRow(data)
		assert.NilError(t, err)
		assert.Equal(t, n, 512)
		assert.Equal(t, restored.Interference("serving0", "f"), 1.0)
	})
	t.Run("long names of images don't make a row larger than the store takes", func(t *testing.T) {
		long := estimator.New()
		for i := range 100 {
			long.UpdatePairs([]cowslipbend.ImagePair{{Serving: strings.Repeat("\x01", 400), Filling: fmt.Sprint("f", i), Interference: 1, Variance: 1}})
		}
		assert.Assert(t, len(encode(t, long)) <= 48<<10, "%d bytes", len(encode(t, long)))
		n, err := estimator.New().RestoreRow(encode(t, long))
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
		long = estimator.New()
		long.UpdatePairs([]cowslipbend.ImagePair{{Serving: strings.Repeat("x", 64<<10), Filling: "f", Interference: 1, Variance: 1}})
		assert.Assert(t, encode(t, long) == nil)
	})
	t.Run("an invalid row adds nothing", func(t *testing.T) {
		for _, data := range []string{
			"", "{", "[]", `{"pairs":[{"s":"a","f":"b","m":1,"v":1},{"s":"a","f":"c","m":-1,"v":1}]}`, `{"pairs":[{"s":"a","f":"b","m":1}]}`,
			`{"pairs":[{"s":"a","f":"b","m":100,"v":1}]}`, `{"pairs":[{"s":"a","f":"b","m":1,"v":100}]}`, `{"pairs":[],"tails":[{"i":"a","t":0}]}`,
		} {
			e := estimator.New()
			prior := e.Interference("a", "b")
			n, err := e.RestoreRow([]byte(data))
			assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBroken, "%s", data)
			assert.Equal(t, n, 0)
			assert.Equal(t, e.Interference("a", "b"), prior)
		}
	})
}

// Guards against rows of other writers after which an estimate leaves its bounds.
func FuzzRestoreRow(f *testing.F) {
	f.Add([]byte(`{"pairs":[{"s":"web","f":"x","m":1,"v":0.5}],"tails":[{"i":"web","t":4}]}`))
	f.Add([]byte(`{"pairs":[{"s":"web","f":"x","m":12,"v":4}],"tails":[{"i":"web","t":1e-300}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e := estimator.New()
		if _, err := e.RestoreRow(data); err != nil {
			return
		}
		e.Observe(estimator.Sample{
			Host: "h", Serving: []estimator.Serving{{Image: "web", Tail: 9, Target: target}}, Filling: []estimator.Filling{{Image: "x", Share: 0.1}},
		})
		coefficient := e.Interference("web", "x")
		assert.Assert(t, coefficient >= 0 && coefficient <= 12, "%f", coefficient)
		encode(t, e)
	})
}
