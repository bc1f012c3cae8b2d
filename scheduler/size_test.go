package scheduler

import (
	"fmt"
	"runtime"
	"testing"
)

// heap returns the bytes of live objects.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHeap measures what a pool's owner keeps in memory for a task, with
// as many queued tasks as running ones.
func BenchmarkHeap(b *testing.B) {
	for _, size := range []struct{ workers, running, queued int }{{11, 165, 150}, {70, 1020, 920}, {810, 12200, 11000}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := fullFleet(b, size.workers, size.running, size.queued, 20, 30, "guarded")
				grown := heap() - before
				b.ReportMetric(float64(grown)/float64(size.running+size.queued), "B/task")
				runtime.KeepAlive(f)
			}
		})
	}
}
