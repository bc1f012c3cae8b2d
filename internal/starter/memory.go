package starter

import "runtime/debug"

// Settings of the garbage collector.
const (
	// memoryLimitPercent is the share of the memory from which on the garbage
	// collector runs more often. The rest is for stacks, socket buffers and the C
	// library.
	memoryLimitPercent = 60
	// gcPercent is by how much the heap may grow between two collections. It is
	// above the default of 100, so that small heaps are rarely collected, which
	// saves processor time.
	gcPercent = 400
)

// LimitMemory sets up the garbage collector for a process that may use so many
// bytes of memory.
func LimitMemory(bytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(bytes / 100 * memoryLimitPercent)
}
