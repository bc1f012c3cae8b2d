package cowslipbend_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// rules returns rules with many queues that are spread over a few hosts.
func rules(queues int) *cowslipbend.Rules {
	r := &cowslipbend.Rules{}
	for i := range queues {
		r.Queues = append(r.Queues, cowslipbend.Queue{
			ID: cowslipbend.QueueID(fmt.Sprintf("r-%06d", i)), Host: fmt.Sprintf("host%02d.example", i%20), Prefix: fmt.Sprintf("/prefix%06d/", i),
		})
	}
	return r
}

func TestMatch(t *testing.T) {
	r := rules(40)
	r.Queues = append(r.Queues, cowslipbend.Queue{ID: "long", Host: "host01.example", Prefix: "/prefix000001/deep/"}, cowslipbend.Queue{ID: "all", Host: "Other.example"})
	for _, c := range []struct {
		name, host, path string
		queue            cowslipbend.QueueID
		rest             string
	}{
		{"a prefix", "host01.example", "/prefix000001/x", "r-000001", "x"},
		{"the longest of several prefixes", "host01.example", "/prefix000001/deep/x", "long", "x"},
		{"another case of the host", "HOST01.example", "/prefix000021/", "r-000021", ""},
		{"another case of the host in the rules", "other.example", "x", "all", "x"},
		{"a path of another host", "host02.example", "/prefix000001/x", "", ""},
		{"an unknown host", "none.example", "/prefix000001/x", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, rest := r.Match(c.host, c.path)
			assert.Equal(t, q == nil, c.queue == "")
			if q != nil {
				assert.Equal(t, q.ID, c.queue)
				assert.Equal(t, q, r.Queue(c.queue))
			}
			assert.Equal(t, rest, c.rest)
		})
	}
	assert.Assert(t, r.Queue("none") == nil)
}

func BenchmarkMatch(b *testing.B) {
	r := rules(5000)
	for b.Loop() {
		r.Match("host03.example", "/prefix004983/0123456789abcdef")
	}
}
