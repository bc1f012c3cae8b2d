package logwriter_test

import (
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cowslipbend.dev/internal/logwriter"
)

// blockedStream is a stream whose writes block until release is closed.
type blockedStream struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *blockedStream) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func TestWriter(t *testing.T) {
	s := &blockedStream{release: make(chan struct{})}
	w := logwriter.New(s)
	var g errgroup.Group
	g.Go(w.Run)
	const lines = 10000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped > 0, "a blocked stream must not block the writer")
	close(s.release)
	w.Close()
	<-w.Done()
	assert.NilError(t, g.Wait())
	text := s.text.String()
	assert.Equal(t, int64(strings.Count(text, "line\n")), lines-dropped)
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Equal(t, w.Dropped(), int64(0))
}
