package heartbeater_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/control"
)

// newBeatRequest returns the heartbeat of an agent with one endpoint and the
// given number of tasks.
func newBeatRequest(tasks int) *control.BeatRequest {
	r := &control.BeatRequest{
		Worker: "w01", Life: "ND9O4SBMSIN7J19I", Pool: "ledger", Domain: "d1", Rack: "d1r1", Url: "http://127.0.0.1:34735",
		Revision: 12, Token: 1234567890, Sent: 1234567890, Size: &control.Size{Cpu: 16000, Mem: 60 << 30}, Owned: true, Epoch: 3,
		Endpoints: []*control.Endpoint{{Service: "settle", Id: "settle.replica-000001", Slots: 8, Conns: 64, Inflight: 3, Latency: 12000}},
	}
	for i := range tasks {
		r.Usage = append(r.Usage, &control.Usage{
			Task: fmt.Sprintf("netting-%d/%d", 1000+i, i), Attempt: 1, Cpu: 1500, Mem: 2 << 30, Age: 1000, Percent: 100,
		})
	}
	return r
}

// BenchmarkHeartbeat measures the time to encode and decode a heartbeat, and its
// encoded size.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 5, 15, 30} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			r := newBeatRequest(tasks)
			var size int
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(r)
				assert.NilError(b, err)
				size = len(data)
				assert.NilError(b, proto.Unmarshal(data, &control.BeatRequest{}))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
