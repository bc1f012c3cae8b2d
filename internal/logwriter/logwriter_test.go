package logwriter_test

import (
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/logwriter"
)

// stuck is a stream whose reader has stopped until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func TestOutlet(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
	o := logwriter.New(s)
	var g errgroup.Group
	g.Go(o.Run)
	const lines = 10000
	for range lines {
		n, err := o.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	dropped := o.Dropped()
	assert.Assert(t, dropped > 0, "a stopped reader must not hold the writer")
	close(s.release)
	o.Close()
	<-o.Done()
	assert.NilError(t, g.Wait())
	text := s.text.String()
	assert.Equal(t, int64(strings.Count(text, "line\n")), lines-dropped)
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Equal(t, o.Dropped(), int64(0))
}
