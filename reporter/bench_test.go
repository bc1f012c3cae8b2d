package reporter

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/keeper"
	"cowslipbend.dev/timer"
)

// BenchmarkCount measures counting one request.
func BenchmarkCount(b *testing.B) {
	r := newRecorder("e1", &keeper.Table{}, timer.Host{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Count("settle", cowslipbend.Ran, "", 0)
		}
	})
}

// BenchmarkReport measures a report over three days of counts by the numbers
// of entries and services. It also reports the number and total size of rows.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ entries, services int }{{3, 1}, {3, 20}, {12, 20}} {
		b.Run(fmt.Sprintf("entries=%d/services=%d", size.entries, size.services), func(b *testing.B) {
			table, clock, set := &keeper.Table{}, &timer.Manual{}, &cowslipbend.Set{}
			for i := range size.services {
				set.Services = append(set.Services, cowslipbend.Service{
					Name: cowslipbend.ServiceID(fmt.Sprintf("service-%02d", i)), Objective: cowslipbend.Objective{P99: 40, Good: 0.999},
				})
			}
			var recorders []*Recorder
			for i := range size.entries {
				r := newRecorder(cowslipbend.EntryID(fmt.Sprintf("e%d", i)), table, clock)
				r.SetServices(set)
				recorders = append(recorders, r)
			}
			for range 72 * 60 {
				for _, r := range recorders {
					for i := range set.Services {
						r.Count(set.Services[i].Name, cowslipbend.Ran, "", 0)
					}
				}
				clock.Advance(cowslipbend.Minute)
				if clock.Now()%cowslipbend.Time(10*cowslipbend.Minute) == 0 {
					for _, r := range recorders {
						r.Write(context.Background())
					}
				}
			}
			rows, err := table.Scan(context.Background(), keyPrefix, "", 10*scanRows)
			assert.NilError(b, err)
			bytes := 0
			for _, row := range rows {
				bytes += len(row.Value)
			}
			b.ResetTimer()
			for b.Loop() {
				recorders[0].Report(context.Background(), set)
			}
			b.ReportMetric(float64(bytes), "rowbytes")
			b.ReportMetric(float64(len(rows)), "rows")
		})
	}
}
