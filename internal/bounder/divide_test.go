package bounder

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestSharesLeaveRoom guards against limits that together exceed the memory or the descriptors
// of a process.
func TestSharesLeaveRoom(t *testing.T) {
	t.Run("no limit", func(t *testing.T) {
		s := Divide(0, 0)
		assert.Assert(t, s.Front.Conns > 1<<20 && s.Front.Bodies > cowslipbend.GB)
	})
	for _, machine := range []struct {
		memory      cowslipbend.Bytes
		descriptors int
	}{
		{284 * cowslipbend.MB, 4100}, {152 * cowslipbend.MB, 4096}, {184 * cowslipbend.MB, 4100}, {536 * cowslipbend.MB, 8192}, {96 * cowslipbend.MB, 400}, {64 * cowslipbend.MB, 4100},
	} {
		t.Run(fmt.Sprintf("%d MB and %d descriptors", machine.memory/cowslipbend.MB, machine.descriptors), func(t *testing.T) {
			s := Divide(machine.memory, machine.descriptors)
			held, conns := s.Replies, 0
			for _, l := range []Limits{s.Front, s.Internal, s.Control, s.Ready, s.Metrics} {
				perConn := idleMemory + headerMemory + freeMemory
				if l.Buffer == callerBuffer {
					perConn += kernelBuffers * callerBuffer
				}
				held += l.Bodies + perConn*cowslipbend.Bytes(l.Conns)
				conns += l.Conns
				assert.Assert(t, l.Conns >= minConns)
			}
			assert.Assert(t, held < machine.memory*7/10, "%d of %d", held, machine.memory)
			assert.Assert(t, conns < (machine.descriptors-reservedDescriptors)*7/10, "%d", conns)
		})
	}
}
