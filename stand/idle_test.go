package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseSample(t *testing.T) {
	t.Run("a process with a space in its name", func(t *testing.T) {
		stat := "7 (a b) S 1 7 7 0 -1 4194304 1 0 0 0 30 12 0 0 20 0 1 0 1 1 1"
		s := parseSample(stat, "Name:\ta b\nVmRSS:\t  2048 kB\n", "rchar: 100\nwchar: 23\n")
		assert.Equal(t, s, sample{ticks: 42, bytes: 123, resident: 2048 * 1024})
	})
	t.Run("empty files", func(t *testing.T) {
		assert.Equal(t, parseSample("", "", ""), sample{})
	})
}
