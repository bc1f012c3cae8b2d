package control_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
)

// heartbeat returns an owner's heartbeat of an agent with one endpoint and so
// many tasks, each with a measurement.
func heartbeat(tasks int) *control.BeatRequest {
	r := &control.BeatRequest{
		Worker: "w0417", Life: cowslipbend.DrawID(), Pool: "ledger", Domain: "d3", Rack: "d3-r14",
		Url: "http://10.3.14.17:7100", Revision: 90210, Token: 86_400_000, Sent: 86_400_000,
		Size:  control.FromResources(cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB}),
		Owned: true, Epoch: 17,
		Endpoints: []*control.Endpoint{{Service: "settle", Id: "settle.replica-000417/0-1", Slots: 8, Conns: 64, Inflight: 5, Latency: 4100}},
	}
	for i := range tasks {
		r.Usage = append(r.Usage, &control.Usage{
			Task: fmt.Sprintf("netting-20281103-%d/%d", i, i), Attempt: 1, Cpu: 1870, Mem: int64(3 * cowslipbend.GB), Age: 1100, Percent: 100,
		})
	}
	return r
}

// BenchmarkBeat measures the bytes of a heartbeat's message and the time to
// write and read it.
func BenchmarkBeat(b *testing.B) {
	for _, tasks := range []int{0, 5, 15, 30} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			r := heartbeat(tasks)
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(r)
				assert.NilError(b, err)
				var got control.BeatRequest
				assert.NilError(b, proto.Unmarshal(data, &got))
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
