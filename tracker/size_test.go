package tracker_test

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

// BenchmarkHeap measures the memory that a tracker uses for each agent.
func BenchmarkHeap(b *testing.B) {
	for _, agents := range []int{11, 100, 810} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				track, _ := newTracker(agents)
				b.ReportMetric(float64(heap()-before)/float64(agents), "B/agent")
				runtime.KeepAlive(track)
			}
		})
	}
}
