package cowslipbend_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestFence guards against a token that does not exceed all earlier ones.
func TestFence(t *testing.T) {
	tokens := []cowslipbend.Fence{
		0, cowslipbend.NewFence(0, 0, 1), cowslipbend.NewFence(1, 0, 1), cowslipbend.NewFence(1, 0, 2), cowslipbend.NewFence(1, 1, 1), cowslipbend.NewFence(1, 1, 60000),
		cowslipbend.NewFence(1, 2, 1), cowslipbend.NewFence(1, 16000, 1), cowslipbend.NewFence(1, cowslipbend.MaxProcess, 60000), cowslipbend.NewFence(2, 0, 1), cowslipbend.NewFence(3, 5, 9), cowslipbend.NewFence(1<<23-1, 0, 0), 1 << 53,
	}
	for i := range tokens[1:] {
		assert.Assert(t, tokens[i] < tokens[i+1], "%d and %d", tokens[i], tokens[i+1])
	}
}
