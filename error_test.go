package cowslipbend_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func TestErrors(t *testing.T) {
	t.Run("the text names path, fault and remedy", func(t *testing.T) {
		err := cowslipbend.Invalid("job.size.cpu", "must be above zero", "give cores")
		assert.Error(t, err, "job.size.cpu: must be above zero (give cores)")
	})
	t.Run("a list gathers all faults and flattens lists", func(t *testing.T) {
		var inner, l cowslipbend.Errors
		inner.Add(cowslipbend.Invalid("a", "is bad", "mend a"))
		inner.Add(cowslipbend.Invalid("b", "is bad", "mend b"))
		l.Add(inner.Err())
		l.Add(nil)
		l.Add(cowslipbend.Invalid("c", "is bad", "mend c"))
		assert.Equal(t, len(l), 3)
		assert.Error(t, l.Err(), "a: is bad (mend a)\nb: is bad (mend b)\nc: is bad (mend c)")
	})
	t.Run("an empty list is no error", func(t *testing.T) {
		assert.NilError(t, cowslipbend.Errors{}.Err())
	})
	t.Run("the kind is found through wrapping and lists", func(t *testing.T) {
		wrapped := fmt.Errorf("at start: %w", cowslipbend.Fail(cowslipbend.KindDown, "store is unavailable", "wait"))
		assert.Equal(t, cowslipbend.KindOf(wrapped), cowslipbend.KindDown)
		assert.Equal(t, cowslipbend.KindOf(cowslipbend.Errors{cowslipbend.AsError(wrapped)}), cowslipbend.KindDown)
		assert.Equal(t, cowslipbend.KindOf(nil), cowslipbend.Kind(""))
	})
}

func TestCheckName(t *testing.T) {
	for _, name := range []string{"a", "settle.replica-000001/0", "A_b-c"} {
		t.Run("takes "+name, func(t *testing.T) { assert.NilError(t, cowslipbend.CheckName("name", name)) })
	}
	for _, name := range []string{"", "a b", "ü", "a\n", string(make([]byte, 129))} {
		t.Run(fmt.Sprintf("refuses %.10q", name), func(t *testing.T) { assertRemedy(t, cowslipbend.CheckName("name", name)) })
	}
}
