package conductor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

func TestGrant(t *testing.T) {
	assert.Equal(t, conductor.Grant(10*cowslipbend.Second), 6*cowslipbend.Second)
	assert.Equal(t, conductor.Grant(6*cowslipbend.Second), 5400*cowslipbend.Millisecond)
}
