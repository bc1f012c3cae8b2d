package dialer_test

import (
	"io"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/dialer"
)

// TestRepliesShareTheirBytes guards against peers whose replies together exceed the memory.
func TestRepliesShareTheirBytes(t *testing.T) {
	read := func(r *dialer.Replies, size int) error {
		data, err := r.Read(strings.NewReader(strings.Repeat("x", size)), 1000)
		if err == nil {
			assert.Equal(t, len(data), size)
		}
		return err
	}
	t.Run("a reply that is alone has its own limit", func(t *testing.T) {
		r := dialer.NewReplies(10)
		assert.NilError(t, read(r, 1000))
		assert.ErrorContains(t, read(r, 1001), "larger than 1000 bytes")
		assert.NilError(t, read(nil, 1000))
	})
	t.Run("one beside others fails, and not after they have been read", func(t *testing.T) {
		r := dialer.NewReplies(10)
		slow, writer := io.Pipe()
		var other errgroup.Group
		other.Go(func() error {
			_, err := r.Read(slow, 1000)
			return err
		})
		_, err := writer.Write([]byte("12345678"))
		assert.NilError(t, err)
		_, err = writer.Write([]byte("9")) // The first part has been counted.
		assert.NilError(t, err)
		assert.ErrorContains(t, read(r, 11), "being read")
		assert.NilError(t, writer.Close())
		assert.NilError(t, other.Wait())
		assert.NilError(t, read(r, 11))
	})
}
