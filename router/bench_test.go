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

// direct returns a system whose entry reaches its agents without a relay.
func direct(b *testing.B, hosts int) *system {
	s := newSystem(b, 1, hosts)
	s.direct = true
	for _, h := range s.hosts {
		h.on(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		assert.NilError(b, h.gate.Withdraw(h.announced()))
		h.lives++
		h.announce(b, 64, 512)
	}
	s.beat()
	return s
}

// exchange sends a small request and returns its time in microseconds.
func exchange(b *testing.B, client *http.Client, url string) float64 {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("question"))
	assert.NilError(b, err)
	req.Header.Set(cowslipbend.HeaderTeam, "t")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || string(data) != "answer" {
		b.Fatalf("%d %s %v", resp.StatusCode, data, err)
	}
	return float64(time.Since(began).Nanoseconds()) / 1000
}

// BenchmarkAdded calls an endpoint in turn directly and through entry and
// agent, and reports what the way adds in microseconds.
func BenchmarkAdded(b *testing.B) {
	s := direct(b, 1)
	client := &http.Client{Transport: &http.Transport{}}
	near, far := s.hosts[0].endpoint.URL+"/x", s.entries[0].server.URL()+"/call/s/x"
	var straight, through []float64
	for b.Loop() {
		straight = append(straight, exchange(b, client, near))
		through = append(through, exchange(b, client, far))
	}
	slices.Sort(straight)
	slices.Sort(through)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", .5}, {"p99", .99}} {
		i := int(q.at * float64(len(straight)-1))
		b.ReportMetric(straight[i], "direct-"+q.name+"-µs")
		b.ReportMetric(through[i]-straight[i], "added-"+q.name+"-µs")
	}
}

// BenchmarkThroughput sends small requests through one entry to 11 agents.
func BenchmarkThroughput(b *testing.B) {
	s := direct(b, 11)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	url := s.entries[0].server.URL() + "/call/s/x"
	var n atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(16)
	began := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			exchange(b, client, url)
			n.Add(1)
		}
	})
	b.ReportMetric(float64(n.Load())/time.Since(began).Seconds(), "requests/s")
}
