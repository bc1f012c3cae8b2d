// Package outlet writes log lines to a stream that may be slow. Writers never
// wait: what does not fit into the buffer is dropped and counted, and the
// count is written as soon as there is room.
package outlet

import (
	"fmt"
	"io"
	"sync/atomic"

	"cowslipbend.dev/internal/ring"
)

// lines is the count of lines that wait for the stream at most.
const lines = 4096

// Outlet is an io.Writer that never blocks.
type Outlet struct {
	to      io.Writer
	ring    *ring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
}

// New returns an outlet to the stream. Run must be called.
func New(to io.Writer) *Outlet {
	return &Outlet{to: to, ring: ring.New[[]byte](lines), done: make(chan struct{})}
}

// Write takes one line, or counts it as dropped. It never fails.
func (o *Outlet) Write(b []byte) (int, error) {
	if !o.ring.Offer(append([]byte(nil), b...)) {
		o.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped and not told yet.
func (o *Outlet) Dropped() int64 { return o.dropped.Load() }

// Run writes lines until Close. Errors of the stream are dropped: there is
// nowhere left to tell them.
func (o *Outlet) Run() error {
	defer close(o.done)
	for {
		select {
		case line := <-o.ring.Items():
			o.write(line)
		case <-o.ring.Done():
			for _, line := range o.ring.Drain(lines) {
				o.write(line)
			}
			return nil
		}
	}
}

func (o *Outlet) write(line []byte) {
	_, _ = o.to.Write(line)
	if n := o.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(o.to, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}

// Close has Run write what is there and return.
func (o *Outlet) Close() { o.ring.Close() }

// Done is closed when Run has returned.
func (o *Outlet) Done() <-chan struct{} { return o.done }
