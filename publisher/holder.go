package publisher

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"

	"cowslipbend.dev"
	"cowslipbend.dev/checker"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/internal/ring"
)

// Bounds on pulling from peers.
const (
	pullBacklog = 16
	pullTimeout = cowslipbend.Second // until the reply begins
)

// Holder holds the configuration in force in one process. Its revision never
// decreases. It is safe for concurrent use.
type Holder struct {
	log        hclog.Logger
	http       *http.Client
	newerPeers *ring.Ring[peerRevision]
	done       chan struct{}

	// installing is held during an installation and its callbacks, so that
	// callbacks see revisions in ascending order.
	installing sync.Mutex

	mu        sync.Mutex
	rev       cowslipbend.Revision
	raw       []byte
	set       *cowslipbend.Set
	callbacks []func(cowslipbend.Revision, *cowslipbend.Set)
}

// peerRevision is the revision that a peer has reported.
type peerRevision struct {
	peer string
	rev  cowslipbend.Revision
}

// NewHolder returns a holder of the empty set at revision 0.
func NewHolder(secret string, log hclog.Logger) *Holder {
	return newHolder(dialer.Pooled(secret), log)
}

// newHolder returns a holder that calls peers by the client.
func newHolder(client *http.Client, log hclog.Logger) *Holder {
	return &Holder{
		log: log, http: dialer.Watched(client, pullTimeout), newerPeers: ring.New[peerRevision](pullBacklog),
		done: make(chan struct{}), set: &cowslipbend.Set{},
	}
}

// OnChange registers a callback that is called with each newer set, one set
// after the other. The callback must not block or install a set.
func (h *Holder) OnChange(f func(cowslipbend.Revision, *cowslipbend.Set)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callbacks = append(h.callbacks, f)
}

// Revision returns the revision in force.
func (h *Holder) Revision() cowslipbend.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rev
}

// Set returns the set in force and its revision. The set must not be modified.
func (h *Holder) Set() (cowslipbend.Revision, *cowslipbend.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rev, h.set
}

// OfferRevision reports the revision that the peer at the URL has. If it is
// newer than the one in force, Run pulls the set from the peer.
func (h *Holder) OfferRevision(peer string, rev cowslipbend.Revision) {
	if rev > h.Revision() {
		h.newerPeers.Offer(peerRevision{peer, rev})
	}
}

// Install decodes and validates an encoded set and puts it in force. An older
// or equal revision is ignored. An invalid set returns an error and leaves
// the holder unchanged.
func (h *Holder) Install(rev cowslipbend.Revision, raw []byte) error {
	set, err := Decode(raw)
	if err != nil {
		return err
	}
	h.installing.Lock()
	defer h.installing.Unlock()
	h.mu.Lock()
	if rev <= h.rev {
		h.mu.Unlock()
		return nil
	}
	h.rev, h.raw, h.set = rev, raw, set
	callbacks := h.callbacks
	h.mu.Unlock()
	for _, f := range callbacks {
		f(rev, set)
	}
	h.log.Info("configuration in force", "revision", rev)
	return nil
}

// Decode decodes and validates a published set.
func Decode(raw []byte) (*cowslipbend.Set, error) {
	var set cowslipbend.Set
	if err := json.Unmarshal(raw, &set); err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "publish the set again", "cannot decode the published set")
	}
	return &set, checker.Check(&set)
}

// Pull implements control.Config. The reply carries the set only if it is
// newer than the caller's revision.
func (h *Holder) Pull(_ context.Context, r *control.PullRequest) (*control.PullReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := &control.PullReply{Revision: int64(h.rev)}
	if int64(h.rev) > r.GetRevision() {
		reply.Set = h.raw
	}
	return reply, nil
}

// Run pulls newer sets from peers until the context is done.
func (h *Holder) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.http.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case newer := <-h.newerPeers.Items():
			if newer.rev > h.Revision() {
				h.pull(ctx, newer.peer)
			}
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (h *Holder) Done() <-chan struct{} { return h.done }

func (h *Holder) pull(ctx context.Context, peer string) {
	client := control.NewConfigProtobufClient(peer, h.http)
	reply, err := client.Pull(ctx, &control.PullRequest{Revision: int64(h.Revision())})
	if err == nil && len(reply.GetSet()) > 0 {
		err = h.Install(cowslipbend.Revision(reply.GetRevision()), reply.GetSet())
	}
	if err != nil {
		h.log.Warn("cannot pull the configuration from a peer; keeping the revision in force", "peer", peer, "error", err)
	}
}
