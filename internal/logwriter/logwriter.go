// Package logwriter writes log lines to a stream that may be slow or blocked.
// Callers never wait: lines that do not fit into the buffer are dropped, and
// their count is logged after the next line that is written.
package logwriter

import (
	"fmt"
	"io"
	"sync/atomic"

	"cowslipbend.dev/internal/ring"
)

// maxLines limits the buffered lines.
const maxLines = 4096

// Writer is an io.Writer that never blocks.
type Writer struct {
	stream  io.Writer
	buffer  *ring.Ring[[]byte]
	dropped atomic.Int64 // lines dropped since the last count was logged
	done    chan struct{}
}

// New returns a writer to the stream. Nothing is written until Run is called.
func New(stream io.Writer) *Writer {
	return &Writer{stream: stream, buffer: ring.New[[]byte](maxLines), done: make(chan struct{})}
}

// Write buffers a line, or drops it if the buffer is full. It never returns an
// error.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.buffer.Offer(append([]byte(nil), b...)) {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped since the last count was logged.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes the buffered lines to the stream until Close is called. It ignores
// errors of the stream, as there is no other place to log them.
func (w *Writer) Run() error {
	defer close(w.done)
	for {
		select {
		case line := <-w.buffer.Items():
			w.write(line)
		case <-w.buffer.Done():
			for _, line := range w.buffer.Drain(maxLines) {
				w.write(line)
			}
			return nil
		}
	}
}

func (w *Writer) write(line []byte) {
	_, _ = w.stream.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.stream, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}

// Close makes Run write the lines that are buffered and return.
func (w *Writer) Close() { w.buffer.Close() }

// Done is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }
