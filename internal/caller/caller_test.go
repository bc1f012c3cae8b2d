package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/internal/caller"
)

// callBytes returns the bytes counted in the registry, by call and direction.
func callBytes(t *testing.T, reg *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := reg.Gather()
	assert.NilError(t, err)
	sums := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "cowslip_call_bytes_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			sums[m.GetLabel()[0].GetValue()+" "+m.GetLabel()[1].GetValue()] += m.GetCounter().GetValue()
		}
	}
	return sums
}

func TestCountBytes(t *testing.T) {
	mux := http.NewServeMux()
	caller.Handle(mux, "/echo", func(_ context.Context, in *string) (string, error) { return *in + *in, nil })
	clientReg, serverReg := prometheus.NewRegistry(), prometheus.NewRegistry()
	srv := httptest.NewServer(caller.CountBytes(mux, instrumenter.New(serverReg)))
	defer srv.Close()
	c := caller.New(instrumenter.New(clientReg))
	defer c.Close()
	var out string
	assert.NilError(t, c.Call(t.Context(), srv.URL+"/echo", "abc", &out, cowslipbend.Second))
	assert.Equal(t, cowslipbend.KindOf(c.Call(t.Context(), srv.URL+"/none", "abc", nil, cowslipbend.Second)) == "", false)
	t.Run("client", func(t *testing.T) {
		sums := callBytes(t, clientReg)
		assert.Equal(t, sums["/echo sent"], 5.0)
		assert.Equal(t, sums["/echo received"], 8.0)
	})
	t.Run("server", func(t *testing.T) {
		assert.DeepEqual(t, callBytes(t, serverReg), map[string]float64{"/echo sent": 8, "/echo received": 5})
	})
}
