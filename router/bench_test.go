package router_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// newDirectSystem returns a system whose entry connects to its agents without
// a relay.
func newDirectSystem(b *testing.B, hosts int) *system {
	s := newSystem(b, 1, hosts)
	s.direct = true
	for _, h := range s.hosts {
		h.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		assert.NilError(b, h.gate.Withdraw(h.endpointID()))
		h.generation++
		h.announce(b, 64, 512)
	}
	s.sendHeartbeats()
	return s
}

// roundTripMicros sends a small request and returns its time in microseconds.
func roundTripMicros(b *testing.B, client *http.Client, url string) float64 {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("question"))
	assert.NilError(b, err)
	req.Header.Set(cowslipbend.HeaderTeam, "t")
	startedAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || string(data) != "answer" {
		b.Fatalf("%d %s %v", resp.StatusCode, data, err)
	}
	return float64(time.Since(startedAt).Nanoseconds()) / 1000
}

// BenchmarkAdded calls an endpoint alternately directly and through entry and
// agent, and reports the latency that entry and agent add, in microseconds.
func BenchmarkAdded(b *testing.B) {
	s := newDirectSystem(b, 1)
	client := &http.Client{Transport: &http.Transport{}}
	directURL, routedURL := s.hosts[0].endpoint.URL+"/x", s.entries[0].server.URL()+"/call/s/x"
	var direct, routed []float64
	for b.Loop() {
		direct = append(direct, roundTripMicros(b, client, directURL))
		routed = append(routed, roundTripMicros(b, client, routedURL))
	}
	slices.Sort(direct)
	slices.Sort(routed)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", .5}, {"p99", .99}} {
		i := int(q.at * float64(len(direct)-1))
		b.ReportMetric(direct[i], "direct-"+q.name+"-µs")
		b.ReportMetric(routed[i]-direct[i], "added-"+q.name+"-µs")
	}
}

// BenchmarkThroughput sends small requests through one entry to 11 agents.
func BenchmarkThroughput(b *testing.B) {
	s := newDirectSystem(b, 11)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	url := s.entries[0].server.URL() + "/call/s/x"
	var n atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(16)
	startedAt := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			roundTripMicros(b, client, url)
			n.Add(1)
		}
	})
	b.ReportMetric(float64(n.Load())/time.Since(startedAt).Seconds(), "requests/s")
}
