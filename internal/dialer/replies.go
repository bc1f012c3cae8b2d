package dialer

import (
	"fmt"
	"io"
	"sync"

	"cowslipbend.dev"
)

// Replies bounds the bytes of the replies that a process reads at a time, from all peers. The
// methods of a nil Replies bound each reply alone.
type Replies struct {
	limit cowslipbend.Bytes

	mu   sync.Mutex
	held cowslipbend.Bytes
}

// NewReplies returns a bound of the bytes in all.
func NewReplies(limit cowslipbend.Bytes) *Replies { return &Replies{limit: limit} }

// Read reads a whole body of up to limit bytes, and fails if it is larger or if too much of
// other replies is held. One that is alone is only bounded by its own limit.
func (r *Replies) Read(body io.Reader, limit int64) ([]byte, error) {
	bounded := Bound(body, limit)
	if r == nil {
		return io.ReadAll(bounded)
	}
	counted := &countedReply{body: bounded, replies: r}
	defer counted.release()
	return io.ReadAll(counted)
}

// countedReply is a reply of which the read part is counted.
type countedReply struct {
	body    io.Reader
	replies *Replies
	held    cowslipbend.Bytes
}

// Read reads from the reply.
func (c *countedReply) Read(data []byte) (int, error) {
	n, err := c.body.Read(data)
	r := c.replies
	r.mu.Lock()
	defer r.mu.Unlock()
	if need := cowslipbend.Bytes(n); r.held+need <= r.limit || r.held == c.held {
		c.held += need
		r.held += need
		return n, err
	}
	return 0, cowslipbend.Fail(cowslipbend.KindBusy, fmt.Sprintf("replies that are being read take %d bytes in all", r.held), "call again")
}

func (c *countedReply) release() {
	c.replies.mu.Lock()
	defer c.replies.mu.Unlock()
	c.replies.held -= c.held
}
