package control_test

import (
	"context"
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/server"
)

// newBeatRequest returns the heartbeat of an agent to the owner of its pool, with
// one endpoint and the usage of so many tasks.
func newBeatRequest(tasks int) *control.BeatRequest {
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

// BenchmarkBeat measures the size of a heartbeat's message and the time to encode
// and decode it.
func BenchmarkBeat(b *testing.B) {
	for _, tasks := range []int{0, 5, 15, 30} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			r := newBeatRequest(tasks)
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

// fakeEntry is an entry that only replies to heartbeats.
type fakeEntry struct{ control.Entry }

// Beat replies as an entry that owns no pool.
func (fakeEntry) Beat(context.Context, *control.BeatRequest) (*control.BeatReply, error) {
	return &control.BeatReply{Entry: "e01", Life: "L", Owner: "http://10.3.14.1:7001", Epoch: 17}, nil
}

// BenchmarkCall measures heartbeats as calls over loopback, one after the other.
// The processor time that it reports is that of client and server together.
func BenchmarkCall(b *testing.B) {
	for _, tasks := range []int{0, 15} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			srv, err := server.Listen("127.0.0.1:0", control.NewEntryServer(fakeEntry{}))
			assert.NilError(b, err)
			var g errgroup.Group
			g.Go(srv.Run)
			client := dialer.Pooled("")
			entry := control.NewEntryProtobufClient(srv.URL(), client)
			r := newBeatRequest(tasks)
			before := processorTime(b)
			for b.Loop() {
				_, err := entry.Beat(b.Context(), r)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			client.CloseIdleConnections()
			srv.Close()
			assert.NilError(b, g.Wait())
		})
	}
}

// processorTime returns the processor time of this process in nanoseconds.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var u unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}
