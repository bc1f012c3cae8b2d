package main

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cowslipbend.dev/internal/starter"
)

// TestSettings checks that the operators' page of settings matches the flags.
// -update rewrites the page.
func TestSettings(t *testing.T) {
	page, err := filepath.Abs("../docs/operate/settings/cowslip.md")
	assert.NilError(t, err)
	golden.Assert(t, starter.Document(command()), page)
}
