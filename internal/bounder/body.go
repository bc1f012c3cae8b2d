package bounder

import (
	"container/list"
	"errors"
	"io"
	"net/http"
	"time"

	"cowslipbend.dev"
)

const (
	// memoryFactor is how much memory a body takes for each byte until it has been decoded: the
	// buffer of the reader, and the texts that are decoded from it.
	memoryFactor = 4
	// freeMemory is how much a body takes without regard to others, so that small requests are
	// served while large ones wait. It is counted with the connection.
	freeMemory = 16 * cowslipbend.KB
	// retryDelay is the delay that a refusal recommends.
	retryDelay = cowslipbend.Second
)

// Handler returns a handler that bounds the bodies of the requests to another one. What a body
// takes is released when that returns, or when it calls Stream.
func (b *Bounder) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil {
			c.change(func() { c.handlers++ })
			defer c.change(func() { c.handlers-- })
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		arriving := &body{ReadCloser: r.Body, bounder: b, control: http.NewResponseController(w), writer: w, conn: c, http1: r.ProtoMajor == 1}
		arriving.begin()
		defer arriving.release()
		bounded := *r
		bounded.Body = arriving
		next.ServeHTTP(w, &bounded)
	})
}

// Stream releases what the body of a request takes, as its handler does not keep what it reads
// from now on.
func Stream(r io.ReadCloser) {
	if b, ok := r.(*body); ok {
		b.stream()
	}
}

// Settle sets what the body of a request takes, once it has been read and its handler keeps only
// so much of it.
func Settle(r io.ReadCloser, kept cowslipbend.Bytes) {
	if b, ok := r.(*body); ok {
		b.settle(kept)
	}
}

// Refusal returns the error of a body that was refused, or nil if err is another one. The
// request has not run.
func Refusal(err error) *cowslipbend.Error {
	if refused, ok := errors.AsType[*refusal](err); ok {
		return refused.reason
	}
	return nil
}

// refusal is the error of reading a body that was refused.
type refusal struct{ reason *cowslipbend.Error }

// Error returns the reason.
func (r *refusal) Error() string { return r.reason.Error() }

// Unwrap returns the reason.
func (r *refusal) Unwrap() error { return r.reason }

// body is the body of a request. Its fields are protected by the bounder's lock, under which the
// control is not called: it may wait for the connection, whose state the bounder tracks.
type body struct {
	io.ReadCloser
	bounder *Bounder
	control *http.ResponseController
	writer  http.ResponseWriter
	// conn is nil for a listener that is not bounded.
	conn  *conn
	http1 bool
	// place is its place in the bounder's list while it arrives.
	place *list.Element
	// held is what it takes. streamed is set once nothing is held, and evicted once it has to
	// make room.
	held              cowslipbend.Bytes
	streamed, evicted bool
}

// Read reads from the body.
func (b *body) Read(data []byte) (int, error) {
	b.changeReading(1)
	n, err := b.ReadCloser.Read(data)
	b.changeReading(-1)
	admitted := b.hold(cowslipbend.Bytes(n) * memoryFactor)
	switch {
	case err == nil && admitted:
		return n, nil
	case errors.Is(err, io.EOF) && b.complete():
		return n, io.EOF
	}
	return n, b.fail(err)
}

// changeReading adds to the count of requests whose handler waits for its body.
func (b *body) changeReading(by int) {
	if b.conn != nil {
		b.conn.change(func() { b.conn.reading += by })
	}
}

// begin has the body arrive in time, or be refused.
func (b *body) begin() {
	if span := b.bounder.limits.BodyTime; span > 0 {
		_ = b.control.SetReadDeadline(time.Now().Add(span.Duration())) // The writers of some tests do not support it.
	}
	b.bounder.mu.Lock()
	defer b.bounder.mu.Unlock()
	b.place = b.bounder.arriving.PushBack(b)
}

// leave takes the body out of those that arrive. The caller holds the lock.
func (b *body) leave() {
	if b.place != nil {
		b.bounder.arriving.Remove(b.place)
		b.place = nil
	}
}

// complete records that the whole body has been read, and reports whether it need not make room.
func (b *body) complete() bool {
	b.bounder.mu.Lock()
	evicted := b.evicted
	if !evicted {
		b.leave()
	}
	b.bounder.mu.Unlock()
	if !evicted && b.bounder.limits.BodyTime > 0 {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return !evicted
}

// hold takes memory for the body, and reports whether it gets it. If there is none
// left, the bodies that have arrived for the longest time make room. One that is alone needs
// none.
func (b *body) hold(need cowslipbend.Bytes) bool {
	bounder := b.bounder
	bounder.mu.Lock()
	defer bounder.mu.Unlock()
	for !b.streamed && !b.evicted && !b.fits(need) {
		oldest := bounder.oldest()
		switch {
		case bounder.held-bounder.leaving+need <= bounder.limits.Bodies:
			bounder.released.Wait()
		case oldest == nil || oldest == b:
			b.evict()
		default:
			oldest.evict()
			bounder.mu.Unlock()
			_ = oldest.control.SetReadDeadline(time.Unix(1, 0)) // It may be waiting for its peer.
			bounder.mu.Lock()
		}
	}
	if !b.streamed && !b.evicted {
		b.held += need
		bounder.held += need
	}
	return !b.evicted
}

// fits reports whether the body may take so much more. The caller holds the lock.
func (b *body) fits(need cowslipbend.Bytes) bool {
	limit := b.bounder.limits.Bodies
	return limit <= 0 || b.held+need <= freeMemory || b.bounder.held+need <= limit || b.bounder.held == b.held
}

// oldest returns the body that has arrived for the longest time and takes memory, or nil. The
// caller holds the lock.
func (b *Bounder) oldest() *body {
	for place := b.arriving.Front(); place != nil; place = place.Next() {
		if arriving := place.Value.(*body); arriving.held > freeMemory {
			return arriving
		}
	}
	return nil
}

// evict has the body refused. The caller holds the lock.
func (b *body) evict() {
	b.evicted = true
	b.bounder.leaving += b.held
	b.bounder.recordRefusal(CauseBodies)
	b.leave()
	b.bounder.released.Broadcast() // It may wait for memory itself.
}

// fail ends the reading of a body that is not complete, and returns the error of the whole body.
func (b *body) fail(err error) error {
	defer b.bounder.logRefusals()
	b.bounder.mu.Lock()
	defer b.bounder.mu.Unlock()
	b.leave()
	switch {
	case b.evicted:
		b.drop()
		return b.refuse("too many bodies are arriving or being handled")
	case isTimeout(err):
		b.bounder.recordRefusal(CauseSlow)
		return b.refuse("its body did not arrive in time")
	}
	return err
}

func isTimeout(err error) bool {
	timeout, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err)
	return ok && timeout.Timeout()
}

// refuse returns the error of a body that is refused. The connection is closed after the reply,
// as the rest of the body may never come. The caller holds the lock.
func (b *body) refuse(why string) *refusal {
	b.writer.Header().Set("Connection", "close")
	if b.conn != nil && b.http1 {
		b.conn.ending = true
		b.conn.update()
	}
	return &refusal{&cowslipbend.Error{Kind: cowslipbend.KindDown, Path: "body", What: "request has not run: " + why, Remedy: "send it again", After: retryDelay}}
}

// drop releases what the body takes. The caller holds the lock.
func (b *body) drop() {
	if b.evicted {
		b.bounder.leaving -= b.held
	}
	b.bounder.held -= b.held
	b.held = 0
	b.bounder.released.Broadcast()
}

// release releases what the body takes once its request has been handled. The connection goes on
// to wait for its peer if the rest of the body was not read.
func (b *body) release() {
	b.bounder.mu.Lock()
	defer b.bounder.mu.Unlock()
	if b.place != nil && b.conn != nil && b.http1 {
		b.conn.ending = true
		b.conn.update()
	}
	b.leave()
	b.drop()
}

// stream has nothing of the body held any more, however long it takes to arrive. A body that has
// to make room is refused all the same.
func (b *body) stream() {
	b.bounder.mu.Lock()
	evicted := b.evicted
	if !evicted {
		b.streamed = true
		b.leave()
		b.drop()
	}
	b.bounder.mu.Unlock()
	if !evicted && b.bounder.limits.BodyTime > 0 {
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

func (b *body) settle(kept cowslipbend.Bytes) {
	b.bounder.mu.Lock()
	defer b.bounder.mu.Unlock()
	if kept = min(kept, b.held); !b.evicted {
		b.bounder.held -= b.held - kept
		b.held = kept
		b.bounder.released.Broadcast()
	}
}
