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

// Sizes and times of a holder.
const (
	pullRing    = 16
	pullTimeout = cowslipbend.Second
)

// Holder is the configuration that is in force in one process. It is safe
// for concurrent use. Its revision never falls.
type Holder struct {
	log    hclog.Logger
	http   *http.Client
	behind *ring.Ring[hint]
	done   chan struct{}

	mu    sync.Mutex
	rev   cowslipbend.Revision
	raw   []byte
	set   *cowslipbend.Set
	hooks []func(cowslipbend.Revision, *cowslipbend.Set)
}

// hint says who has which revision.
type hint struct {
	peer string
	rev  cowslipbend.Revision
}

// NewHolder returns a holder of the empty set, revision 0.
func NewHolder(secret string, log hclog.Logger) *Holder {
	return &Holder{
		log: log, http: dialer.Pooled(secret), behind: ring.New[hint](pullRing),
		done: make(chan struct{}), set: &cowslipbend.Set{},
	}
}

// OnChange adds a function that is called with each newer set. It must not
// wait.
func (h *Holder) OnChange(f func(cowslipbend.Revision, *cowslipbend.Set)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hooks = append(h.hooks, f)
}

// Revision returns what is in force.
func (h *Holder) Revision() cowslipbend.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rev
}

// Set returns the set in force. It must not be changed.
func (h *Holder) Set() (cowslipbend.Revision, *cowslipbend.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rev, h.set
}

// Behind notes that a peer has a newer revision; Run pulls it.
func (h *Holder) Behind(peer string, rev cowslipbend.Revision) {
	if rev > h.Revision() {
		h.behind.Offer(hint{peer, rev})
	}
}

// Install puts an encoded set in force. An older or equal revision is
// ignored; a set that does not check is refused and nothing changes.
func (h *Holder) Install(rev cowslipbend.Revision, raw []byte) error {
	set, err := Decode(raw)
	if err != nil {
		return err
	}
	h.mu.Lock()
	if rev <= h.rev {
		h.mu.Unlock()
		return nil
	}
	h.rev, h.raw, h.set = rev, raw, set
	hooks := h.hooks
	h.mu.Unlock()
	for _, f := range hooks {
		f(rev, set)
	}
	h.log.Info("configuration in force", "revision", rev)
	return nil
}

// Decode decodes and checks a published set.
func Decode(raw []byte) (*cowslipbend.Set, error) {
	var set cowslipbend.Set
	if err := json.Unmarshal(raw, &set); err != nil {
		return nil, cowslipbend.Failf(cowslipbend.KindInvalid, err, "publish the set again", "set does not decode")
	}
	return &set, checker.Check(&set)
}

// Pull serves control.Config.
func (h *Holder) Pull(_ context.Context, r *control.PullRequest) (*control.PullReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := &control.PullReply{Revision: int64(h.rev)}
	if int64(h.rev) > r.GetRevision() {
		reply.Set = h.raw
	}
	return reply, nil
}

// Run pulls from peers that are ahead, until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.http.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case hint := <-h.behind.Items():
			if hint.rev > h.Revision() {
				h.pull(ctx, hint.peer)
			}
		}
	}
}

// Done is closed when Run has returned.
func (h *Holder) Done() <-chan struct{} { return h.done }

func (h *Holder) pull(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()
	client := control.NewConfigProtobufClient(peer, h.http)
	reply, err := client.Pull(ctx, &control.PullRequest{Revision: int64(h.Revision())})
	if err == nil && len(reply.GetSet()) > 0 {
		err = h.Install(cowslipbend.Revision(reply.GetRevision()), reply.GetSet())
	}
	if err != nil {
		h.log.Warn("configuration was not pulled", "peer", peer, "error", err)
	}
}
