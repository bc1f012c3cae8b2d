// Package logwriter writes log lines to a stream that may be slow. Callers never
// wait: what does not fit into the buffer is dropped and counted, and the
// count is written as soon as there is room.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"

	"cowslipbend.dev/internal/ring"
)

// lines is the count of lines that wait for the stream at most.
const lines = 4096

// Writer is an io.Writer that never blocks.
type Writer struct {
	to      io.Writer
	ring    *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer to the stream. Run must be called.
func New(to io.Writer) *Writer {
	return &Writer{to: to, ring: ring.New[[]byte](lines), done: make(chan struct{})}
}

// Write takes one line, or counts it as dropped. It never fails.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.ring.Offer(append([]byte(nil), b...)) {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped and not told yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until Close. Errors of the stream are dropped: there is
// nowhere left to tell them.
func (w *Writer) Run() error {
	defer close(w.done)
	for {
		select {
		case line := <-w.ring.Items():
			w.write(line)
		case <-w.ring.Done():
			for _, line := range w.ring.Drain(lines) {
				w.write(line)
			}
			return nil
		}
	}
}

func (w *Writer) write(line []byte) {
	_, _ = w.to.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.to, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}

// Close has Run write what is there and return.
func (w *Writer) Close() { w.ring.Close() }

// Done is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }
