package dialer_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/dialer"
)

func TestBound(t *testing.T) {
	for _, body := range []string{"", "ab", "abc"} {
		t.Run("a body of "+body, func(t *testing.T) {
			data, err := io.ReadAll(dialer.Bound(strings.NewReader(body), 3))
			assert.NilError(t, err)
			assert.Equal(t, string(data), body)
		})
	}
	t.Run("a body that is too large", func(t *testing.T) {
		data, err := io.ReadAll(dialer.Bound(iotest.OneByteReader(strings.NewReader("abcd")), 3))
		assert.ErrorContains(t, err, "larger than 3 bytes")
		assert.Equal(t, string(data), "abc")
	})
	t.Run("a body that fails at the limit", func(t *testing.T) {
		body := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, err := io.ReadAll(dialer.Bound(body, 3))
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}
