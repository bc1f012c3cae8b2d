package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// TestErrorsPage checks that the operators' page of errors lists every kind.
func TestErrorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operate/errors.md")
	assert.NilError(t, err)
	for _, kind := range []cowslipbend.Kind{
		cowslipbend.KindInvalid, cowslipbend.KindConflict, cowslipbend.KindMissing, cowslipbend.KindDenied,
		cowslipbend.KindLimited, cowslipbend.KindBusy, cowslipbend.KindLate, cowslipbend.KindDown,
		cowslipbend.KindUnknown, cowslipbend.KindStale, cowslipbend.KindLeaving, cowslipbend.KindBroken,
	} {
		assert.Assert(t, strings.Contains(string(page), "| `"+string(kind)+"` |"), "%s is missing", kind)
	}
}
