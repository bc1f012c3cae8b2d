package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/platform"
	"cowslipbend.dev/storer"
)

func newClient(t *testing.T, seed uint64) (*platform.Platform, *storer.Client) {
	t.Helper()
	p := platform.New(seed)
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	c := storer.New(srv.URL, cowslipbend.Minute)
	t.Cleanup(c.Close)
	return p, c
}

// write puts a row and returns whether it was answered.
func write(c *storer.Client, key string) bool {
	_, err := c.Commit(context.Background(), cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: key, Value: []byte("x")}}})
	return err == nil
}

func assertRow(t *testing.T, p *platform.Platform, key string, exists bool) {
	t.Helper()
	row, err := p.Table.Get(context.Background(), key)
	assert.NilError(t, err)
	assert.Equal(t, row.Version > 0, exists)
}

func TestFaults(t *testing.T) {
	t.Run("a platform that is down refuses writes without effect, and recovers", func(t *testing.T) {
		p, c := newClient(t, 1)
		p.SetFault(platform.Fault{Down: true})
		assert.Assert(t, !write(c, "a"))
		assertRow(t, p, "a", false)
		p.SetFault(platform.Fault{})
		assert.Assert(t, write(c, "a"))
	})
	t.Run("a write whose answer is lost takes effect", func(t *testing.T) {
		p, c := newClient(t, 1)
		p.SetFault(platform.Fault{LostAnswerPercent: 100})
		assert.Assert(t, !write(c, "a"))
		assertRow(t, p, "a", true)
	})
	t.Run("the same seed loses the same answers", func(t *testing.T) {
		assert.DeepEqual(t, answeredWrites(t, 7), answeredWrites(t, 7))
	})
	t.Run("another seed loses other answers", func(t *testing.T) {
		assert.Assert(t, answeredWrites(t, 7) != answeredWrites(t, 8))
	})
}

// answeredWrites returns which writes of a sequence were answered.
func answeredWrites(t *testing.T, seed uint64) [32]bool {
	t.Helper()
	p, c := newClient(t, seed)
	p.SetFault(platform.Fault{LostAnswerPercent: 50})
	var answered [32]bool
	for i := range answered {
		answered[i] = write(c, "a")
	}
	return answered
}
