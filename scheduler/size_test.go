package scheduler

import (
	"fmt"
	"runtime"
	"testing"
)

// heapBytes returns the size of all live objects.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHeap measures the memory that a pool's owner uses per task, with
// about as many queued tasks as running ones.
func BenchmarkHeap(b *testing.B) {
	for _, size := range []struct{ workers, running, queued int }{{11, 165, 150}, {70, 1020, 920}, {810, 12200, 11000}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := newSaturatedFleet(b, size.workers, size.running, size.queued, 20, 30, "guarded")
				growth := heapBytes() - before
				b.ReportMetric(float64(growth)/float64(size.running+size.queued), "B/task")
				runtime.KeepAlive(f)
			}
		})
	}
}
