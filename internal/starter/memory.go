package starter

import "runtime/debug"

// Shares of the memory that a process may use, in per cent.
const (
	// softShare is where the collector begins to work harder; the rest is for
	// stacks, buffers of sockets and the C library.
	softShare = 60
	// growth is by how much the heap may grow between two collections. Small
	// heaps are collected seldom, which saves processor time.
	growth = 400
)

// Bound keeps the process within the bytes of memory that its host gives it.
func Bound(bytes int64) {
	debug.SetGCPercent(growth)
	debug.SetMemoryLimit(bytes / 100 * softShare)
}
