package heartbeater

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/admitter"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/internal/dialer"
	"cowslipbend.dev/tasker"
)

// Identity is the part of a heartbeat that is fixed for an incarnation of an agent.
type Identity struct {
	Worker cowslipbend.WorkerID
	Life   cowslipbend.Incarnation
	Pool   cowslipbend.PoolID
	Domain cowslipbend.Domain
	Rack   cowslipbend.Rack
	URL    string
}

// Config is the agent's copy of the configuration.
type Config interface {
	// Revision returns the revision in force on this agent.
	Revision() cowslipbend.Revision
	// OfferRevision reports that the peer at the URL has a newer revision.
	OfferRevision(peer string, rev cowslipbend.Revision)
}

// Options set the times and the secret of a heartbeater.
type Options struct {
	Interval cowslipbend.Span
	Timeout  cowslipbend.Span
	Secret   string
}

// Heartbeater sends the heartbeats of one agent.
type Heartbeater struct {
	self         Identity
	gate         *admitter.Gate
	tasks        *tasker.Tasker
	config       Config
	clock        cowslipbend.Clock
	opts         Options
	log          hclog.Logger
	httpClient   *http.Client
	ownerNotices chan struct{}
	done         chan struct{}

	mu         sync.Mutex
	entries    map[string]control.Entry // by URL
	inFlight   map[string]bool          // URLs of entries that have not replied to the last heartbeat
	ownerURL   string
	ownerEpoch cowslipbend.Epoch
}

// New returns a heartbeater that starts with the entries at the URLs.
func New(self Identity, gate *admitter.Gate, tasks *tasker.Tasker, config Config, clock cowslipbend.Clock, opts Options, log hclog.Logger, entries []string) *Heartbeater {
	h := &Heartbeater{
		self: self, gate: gate, tasks: tasks, config: config, clock: clock, opts: opts, log: log,
		httpClient: dialer.Pooled(opts.Secret), ownerNotices: make(chan struct{}, 1), inFlight: map[string]bool{}, done: make(chan struct{}), entries: map[string]control.Entry{},
	}
	for _, url := range entries {
		h.addEntry(url)
	}
	return h
}

// addEntry adds an entry unless it exists. The caller holds the lock or is the
// only user of h.
func (h *Heartbeater) addEntry(url string) {
	if _, exists := h.entries[url]; !exists {
		h.entries[url] = control.NewEntryProtobufClient(url, h.httpClient)
	}
}

// Run sends heartbeats until the context ends.
func (h *Heartbeater) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.httpClient.CloseIdleConnections()
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	for {
		h.startHeartbeats(ctx, &g, h.entryURLs()...)
		for next := h.clock.After(h.opts.Interval); next != nil; {
			select {
			case <-ctx.Done():
				return nil
			case <-h.ownerNotices:
				h.startHeartbeats(ctx, &g, h.ownerURLs()...)
			case <-next:
				next = nil
			}
		}
	}
}

// NotifyOwner triggers an extra heartbeat to the owner of the pool. It is called
// when attempts have ended, so that the owner can reuse their resources soon, and
// learns of their end even if this host fails.
func (h *Heartbeater) NotifyOwner() {
	select {
	case h.ownerNotices <- struct{}{}:
	default:
	}
}

// ownerURLs returns the URL of the pool's owner, or nil if the owner is unknown.
func (h *Heartbeater) ownerURLs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownerURL == "" {
		return nil
	}
	return []string{h.ownerURL}
}

// startHeartbeats sends a heartbeat to each entry in the background. It skips an
// entry that has not replied to the last one, so that an entry that hangs does
// not delay the others.
func (h *Heartbeater) startHeartbeats(ctx context.Context, g *errgroup.Group, urls ...string) {
	for _, url := range urls {
		if !h.markInFlight(url) {
			continue
		}
		g.Go(func() error {
			defer h.clearInFlight(url)
			h.sendHeartbeat(ctx, url)
			return nil
		})
	}
}

// markInFlight marks a heartbeat to the URL as in flight. It returns false if one
// already is.
func (h *Heartbeater) markInFlight(url string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[url] {
		return false
	}
	h.inFlight[url] = true
	return true
}

func (h *Heartbeater) clearInFlight(url string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, url)
}

// Done returns a channel that is closed when Run returns.
func (h *Heartbeater) Done() <-chan struct{} { return h.done }

// Broadcast sends one heartbeat to each entry and waits for the replies.
func (h *Heartbeater) Broadcast(ctx context.Context) {
	var g errgroup.Group
	for _, url := range h.entryURLs() {
		g.Go(func() error {
			h.sendHeartbeat(ctx, url)
			return nil
		})
	}
	_ = g.Wait()
}

func (h *Heartbeater) entryURLs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	urls := make([]string, 0, len(h.entries))
	for url := range h.entries {
		urls = append(urls, url)
	}
	sort.Strings(urls)
	return urls
}

func (h *Heartbeater) sendHeartbeat(ctx context.Context, url string) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Timeout.Duration())
	defer cancel()
	h.mu.Lock()
	entry, isOwner := h.entries[url], h.ownerURL == url
	h.mu.Unlock()
	sentAt := h.clock.Now()
	view := h.tasks.View()
	reply, err := entry.Beat(ctx, h.newRequest(view, sentAt, isOwner))
	if err != nil {
		h.log.Debug("heartbeat failed", "entry", url, "error", err)
		return
	}
	h.applyReply(ctx, url, sentAt, view, reply)
}

// newRequest returns a heartbeat. Reports and measurements are included only if
// it goes to the owner of the pool.
func (h *Heartbeater) newRequest(view tasker.View, sentAt cowslipbend.Time, toOwner bool) *control.BeatRequest {
	req := &control.BeatRequest{
		Worker: string(h.self.Worker), Life: string(h.self.Life), Pool: string(h.self.Pool),
		Domain: string(h.self.Domain), Rack: string(h.self.Rack), Url: h.self.URL,
		Revision: int64(h.config.Revision()), Token: int64(h.gate.Token()), Leaving: h.gate.Leaving(),
		Sent: int64(sentAt), Size: control.FromResources(view.Size), Owned: toOwner, Epoch: int64(view.Epoch),
	}
	for _, ep := range h.gate.Endpoints() {
		req.Endpoints = append(req.Endpoints, &control.Endpoint{
			Service: string(ep.Service), Id: string(ep.ID), Slots: int32(ep.Slots), Conns: int32(ep.Conns),
			Inflight: int32(ep.UsedSlots), Open: int32(ep.OpenConns), Latency: ep.LatencyMicros, Errors: int32(ep.ErrorPermille), Leaving: ep.Leaving,
		})
	}
	if !toOwner {
		return req
	}
	for _, s := range view.Reports {
		req.Reports = append(req.Reports, toReport(s))
	}
	for _, s := range view.Usage {
		req.Usage = append(req.Usage, h.toUsage(s))
	}
	return req
}

func toReport(s cowslipbend.TaskStatus) *control.Report {
	return &control.Report{
		Task: string(s.Task), Attempt: int64(s.Attempt), Phase: string(s.Phase), Failed: s.Failed,
		Reason: s.Reason, Checkpoint: s.Checkpoint, Cpu: int64(s.CPU),
	}
}

func (h *Heartbeater) toUsage(s cowslipbend.TaskStatus) *control.Usage {
	return &control.Usage{
		Task: string(s.Task), Attempt: int64(s.Attempt), Cpu: int64(s.Usage.CPU), Mem: int64(s.Usage.Mem),
		Age: int64(h.clock.Now().Sub(s.Measured)), Tail: s.Tail, Served: s.Served, Percent: int32(s.Percent),
	}
}

// applyReply applies the reply to the heartbeat that was sent at sentAt with the
// view.
func (h *Heartbeater) applyReply(ctx context.Context, url string, sentAt cowslipbend.Time, view tasker.View, r *control.BeatReply) {
	h.mu.Lock()
	var addedURLs []string
	for _, p := range r.GetEntries() {
		if _, exists := h.entries[p.GetUrl()]; !exists {
			h.addEntry(p.GetUrl())
			addedURLs = append(addedURLs, p.GetUrl())
		}
	}
	// Entries may name different owners for a while; the one with the highest
	// epoch is current.
	if epoch := cowslipbend.Epoch(r.GetEpoch()); r.GetOwner() != "" && epoch >= h.ownerEpoch {
		h.addEntry(r.GetOwner())
		h.ownerURL, h.ownerEpoch = r.GetOwner(), epoch
	}
	h.mu.Unlock()
	for _, added := range addedURLs {
		h.sendHeartbeat(ctx, added) // A new entry is not ready until the agents have sent it heartbeats.
	}
	if rev := cowslipbend.Revision(r.GetRevision()); rev > h.config.Revision() {
		h.config.OfferRevision(url, rev)
	}
	if r.GetLease() > 0 {
		if err := h.tasks.RenewLease(cowslipbend.Epoch(r.GetEpoch()), sentAt, cowslipbend.Span(r.GetLease()), view.Usage); err != nil {
			h.log.Info("lease renewal refused", "entry", url, "error", err)
		}
	}
	for _, a := range r.GetAcks() {
		h.tasks.Acknowledge(ctx, cowslipbend.TaskID(a.GetTask()), cowslipbend.Attempt(a.GetAttempt()))
	}
}
