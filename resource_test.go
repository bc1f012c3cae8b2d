package cowslipbend_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowslipbend.dev"
)

func TestMillicores(t *testing.T) {
	for text, want := range map[string]cowslipbend.Millicores{
		"2": 2000, "1.5": 1500, `"500m"`: 500, `"2"`: 2000, "0": 0,
	} {
		t.Run(text, func(t *testing.T) {
			var got cowslipbend.Millicores
			assert.NilError(t, json.Unmarshal([]byte(text), &got))
			assert.Equal(t, got, want)
		})
	}
	for _, text := range []string{`"x"`, "-1", "1e30", `"m"`, "true", "{}"} {
		t.Run("refuses "+text, func(t *testing.T) {
			var got cowslipbend.Millicores
			assertRemedy(t, json.Unmarshal([]byte(text), &got))
		})
	}
}

func TestBytes(t *testing.T) {
	for text, want := range map[string]cowslipbend.Bytes{
		"1024": cowslipbend.KB, `"1K"`: cowslipbend.KB, `"512M"`: 512 * cowslipbend.MB, `"1.5G"`: 3 * cowslipbend.GB / 2,
	} {
		t.Run(text, func(t *testing.T) {
			var got cowslipbend.Bytes
			assert.NilError(t, json.Unmarshal([]byte(text), &got))
			assert.Equal(t, got, want)
		})
	}
	for _, text := range []string{`"1T"`, "-1", `"G"`, "[]"} {
		t.Run("refuses "+text, func(t *testing.T) {
			var got cowslipbend.Bytes
			assertRemedy(t, json.Unmarshal([]byte(text), &got))
		})
	}
}

func TestSpan(t *testing.T) {
	for text, want := range map[string]cowslipbend.Span{
		`"40ms"`: 40, `"2s"`: 2 * cowslipbend.Second, `"1h30m"`: 90 * cowslipbend.Minute,
	} {
		t.Run(text, func(t *testing.T) {
			var got cowslipbend.Span
			assert.NilError(t, json.Unmarshal([]byte(text), &got))
			assert.Equal(t, got, want)
		})
	}
	for _, text := range []string{`"soon"`, "250", `"250"`, `"0"`, "{}"} {
		t.Run("refuses "+text, func(t *testing.T) {
			var got cowslipbend.Span
			assertRemedy(t, json.Unmarshal([]byte(text), &got))
		})
	}
	t.Run("survives a round trip", rapid.MakeCheck(func(t *rapid.T) {
		want := cowslipbend.Span(rapid.Int64Range(0, int64(400*cowslipbend.Day)).Draw(t, "span"))
		data, err := json.Marshal(want)
		assert.NilError(t, err)
		var got cowslipbend.Span
		assert.NilError(t, json.Unmarshal(data, &got))
		assert.Equal(t, got, want)
	}))
}

// assertRemedy asserts that the value was refused as invalid with a remedy.
func assertRemedy(t *testing.T, err error) {
	t.Helper()
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindInvalid, "%v", err)
	assert.Assert(t, cowslipbend.AsError(err).Remedy != "")
}

func drawResources(t *rapid.T, name string) cowslipbend.Resources {
	return cowslipbend.Resources{
		CPU:   cowslipbend.Millicores(rapid.Int64Range(0, 64000).Draw(t, name+"cpu")),
		Mem:   cowslipbend.Bytes(rapid.Int64Range(0, 1<<40).Draw(t, name+"mem")),
		Accel: cowslipbend.Accels(rapid.Int64Range(0, 8).Draw(t, name+"accel")),
	}
}

func TestResources(t *testing.T) {
	t.Run("what fits has a share of at most 1", rapid.MakeCheck(func(t *rapid.T) {
		a, b := drawResources(t, "a"), drawResources(t, "b")
		assert.Equal(t, a.Fits(b), a.Share(b) <= 1)
	}))
	t.Run("minus undoes plus", rapid.MakeCheck(func(t *rapid.T) {
		a, b := drawResources(t, "a"), drawResources(t, "b")
		assert.Equal(t, a.Plus(b).Minus(b), a)
	}))
}
