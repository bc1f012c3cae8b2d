package main

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cowslipbend.dev/internal/starter"
)

// TestSettings checks that the operators' page matches the flags. It writes the
// page if -update is given.
func TestSettings(t *testing.T) {
	page, err := filepath.Abs("../docs/operate/settings/stand.md")
	assert.NilError(t, err)
	golden.Assert(t, starter.Document(command()), page)
}
