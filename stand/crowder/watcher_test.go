package crowder_test

import (
	"context"
	"net"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/crowder"
)

// TestWatcher guards against checks that can't fail, as nothing is counted.
func TestWatcher(t *testing.T) {
	const connections, size = 30, 2000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	t.Run("sockets, and bytes that are not read, are counted", func(t *testing.T) {
		for range connections {
			c, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = c.Write(make([]byte, size))
			assert.NilError(t, err)
		}
		w, err := crowder.Watch(t.Context(), func(error) {}, os.Getpid(), ln.Addr().String())
		assert.NilError(t, err)
		peak, _, err := w.End()
		assert.NilError(t, err)
		assert.Equal(t, peak.Unread, cowslipbend.Bytes(connections*size))
		assert.Assert(t, peak.Total >= peak.Memory+peak.Unread)
		assert.Assert(t, peak.Memory > cowslipbend.MB)
		assert.Assert(t, peak.Sockets > connections)
		assert.Assert(t, peak.Descriptors >= peak.Sockets)
	})
	t.Run("a process that has ended is a failure", func(t *testing.T) {
		cmd := exec.Command("sleep", "100")
		assert.NilError(t, cmd.Start())
		ctx, cancel := context.WithCancelCause(t.Context())
		w, err := crowder.Watch(t.Context(), cancel, cmd.Process.Pid)
		assert.NilError(t, err)
		assert.NilError(t, cmd.Process.Kill())
		<-ctx.Done()
		assert.ErrorContains(t, cmd.Wait(), "killed")
		_, _, err = w.End()
		assert.Equal(t, err, context.Cause(ctx))
	})
}
