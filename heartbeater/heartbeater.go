// Package heartbeater sends an agent's heartbeats to the entries and takes what
// their replies bring: other entries, the pool's owner, the batch lease,
// acknowledgements, and word of a newer configuration.
//
// It reads the state of packages admitter and tasker; package tracker receives the
// heartbeats.
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

// Identity is what an agent says about itself in each heartbeat.
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
	// Revision returns what is in force here.
	Revision() cowslipbend.Revision
	// Behind is told that the peer at the URL has a newer revision.
	Behind(peer string, rev cowslipbend.Revision)
}

// Options set the pace.
type Options struct {
	Period  cowslipbend.Span
	Timeout cowslipbend.Span
	Secret  string
}

// Heartbeater sends heartbeats.
type Heartbeater struct {
	self   Identity
	gate   *admitter.Gate
	tasks  *tasker.Tasker
	config Config
	clock  cowslipbend.Clock
	opts   Options
	log    hclog.Logger
	http   *http.Client
	nudged chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	entries map[string]control.Entry
	busy    map[string]bool // entries that owe a reply
	owner   string
	epoch   cowslipbend.Epoch // of the owner
}

// New returns a heartbeater that knows the entries at the URLs.
func New(self Identity, gate *admitter.Gate, tasks *tasker.Tasker, config Config, clock cowslipbend.Clock, opts Options, log hclog.Logger, entries []string) *Heartbeater {
	b := &Heartbeater{
		self: self, gate: gate, tasks: tasks, config: config, clock: clock, opts: opts, log: log,
		http: dialer.Pooled(opts.Secret), nudged: make(chan struct{}, 1), busy: map[string]bool{}, done: make(chan struct{}), entries: map[string]control.Entry{},
	}
	for _, url := range entries {
		b.learn(url)
	}
	return b
}

// learn adds an entry. The caller holds the lock or is alone.
func (b *Heartbeater) learn(url string) {
	if _, known := b.entries[url]; !known {
		b.entries[url] = control.NewEntryProtobufClient(url, b.http)
	}
}

// Run sends heartbeats until the context ends.
func (b *Heartbeater) Run(ctx context.Context) error {
	defer close(b.done)
	defer b.http.CloseIdleConnections()
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	for {
		b.send(ctx, &g, b.known()...)
		for next := b.clock.After(b.opts.Period); next != nil; {
			select {
			case <-ctx.Done():
				return nil
			case <-b.nudged:
				b.send(ctx, &g, b.owners()...)
			case <-next:
				next = nil
			}
		}
	}
}

// Nudge has the owner of the pool told soon that attempts have ended: their
// room can be given away, and the loss of this host must not take the word of
// it along.
func (b *Heartbeater) Nudge() {
	select {
	case b.nudged <- struct{}{}:
	default:
	}
}

// owners returns the URL of the pool's owner, if it is known.
func (b *Heartbeater) owners() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner == "" {
		return nil
	}
	return []string{b.owner}
}

// send starts a heartbeat to each of the entries that does not still owe the
// reply to the last one, so that an entry that hangs holds up no other.
func (b *Heartbeater) send(ctx context.Context, g *errgroup.Group, urls ...string) {
	for _, url := range urls {
		if !b.claim(url) {
			continue
		}
		g.Go(func() error {
			defer b.free(url)
			b.beat(ctx, url)
			return nil
		})
	}
}

func (b *Heartbeater) claim(url string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy[url] {
		return false
	}
	b.busy[url] = true
	return true
}

func (b *Heartbeater) free(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.busy, url)
}

// Done is closed when Run has returned.
func (b *Heartbeater) Done() <-chan struct{} { return b.done }

// Beat sends one heartbeat to each known entry and takes the replies.
func (b *Heartbeater) Beat(ctx context.Context) {
	var g errgroup.Group
	for _, url := range b.known() {
		g.Go(func() error {
			b.beat(ctx, url)
			return nil
		})
	}
	_ = g.Wait()
}

func (b *Heartbeater) known() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	urls := make([]string, 0, len(b.entries))
	for url := range b.entries {
		urls = append(urls, url)
	}
	sort.Strings(urls)
	return urls
}

func (b *Heartbeater) beat(ctx context.Context, url string) {
	ctx, cancel := context.WithTimeout(ctx, b.opts.Timeout.Duration())
	defer cancel()
	b.mu.Lock()
	entry, owned := b.entries[url], b.owner == url
	b.mu.Unlock()
	sent := b.clock.Now()
	view := b.tasks.View()
	reply, err := entry.Beat(ctx, b.request(view, sent, owned))
	if err != nil {
		b.log.Debug("heartbeat failed", "entry", url, "error", err)
		return
	}
	b.take(ctx, url, sent, view, reply)
}

// request builds one heartbeat. Only the owner of the pool gets reports and
// measurements.
func (b *Heartbeater) request(view tasker.View, sent cowslipbend.Time, owned bool) *control.BeatRequest {
	req := &control.BeatRequest{
		Worker: string(b.self.Worker), Life: string(b.self.Life), Pool: string(b.self.Pool),
		Domain: string(b.self.Domain), Rack: string(b.self.Rack), Url: b.self.URL,
		Revision: int64(b.config.Revision()), Token: int64(b.gate.Token()), Leaving: b.gate.Leaving(),
		Sent: int64(sent), Size: control.FromResources(view.Size), Owned: owned, Epoch: int64(view.Epoch),
	}
	for _, ep := range b.gate.Endpoints() {
		req.Endpoints = append(req.Endpoints, &control.Endpoint{
			Service: string(ep.Service), Id: string(ep.ID), Slots: int32(ep.Slots), Conns: int32(ep.Conns),
			Inflight: int32(ep.Inflight), Open: int32(ep.Open), Latency: ep.Latency, Errors: int32(ep.Errors), Leaving: ep.Leaving,
		})
	}
	if !owned {
		return req
	}
	for _, s := range view.Reports {
		req.Reports = append(req.Reports, report(s))
	}
	for _, s := range view.Usage {
		req.Usage = append(req.Usage, b.usage(s))
	}
	return req
}

func report(s cowslipbend.TaskStatus) *control.Report {
	return &control.Report{
		Task: string(s.Task), Attempt: int64(s.Attempt), Phase: string(s.Phase), Failed: s.Failed,
		Reason: s.Reason, Checkpoint: s.Checkpoint, Cpu: int64(s.CPU),
	}
}

func (b *Heartbeater) usage(s cowslipbend.TaskStatus) *control.Usage {
	return &control.Usage{
		Task: string(s.Task), Attempt: int64(s.Attempt), Cpu: int64(s.Usage.CPU), Mem: int64(s.Usage.Mem),
		Age: int64(b.clock.Now().Sub(s.Measured)), Tail: s.Tail, Served: s.Served, Percent: int32(s.Percent),
	}
}

// take applies a reply.
func (b *Heartbeater) take(ctx context.Context, url string, sent cowslipbend.Time, view tasker.View, r *control.BeatReply) {
	b.mu.Lock()
	var fresh []string
	for _, p := range r.GetEntries() {
		if _, known := b.entries[p.GetUrl()]; !known {
			b.learn(p.GetUrl())
			fresh = append(fresh, p.GetUrl())
		}
	}
	// Entries may disagree for a while; the highest epoch is the newest word.
	if epoch := cowslipbend.Epoch(r.GetEpoch()); r.GetOwner() != "" && epoch >= b.epoch {
		b.learn(r.GetOwner())
		b.owner, b.epoch = r.GetOwner(), epoch
	}
	b.mu.Unlock()
	for _, entry := range fresh {
		b.beat(ctx, entry) // A new entry is not ready before it has heard the agents.
	}
	if rev := cowslipbend.Revision(r.GetRevision()); rev > b.config.Revision() {
		b.config.Behind(url, rev)
	}
	if r.GetLease() > 0 {
		if err := b.tasks.RenewLease(cowslipbend.Epoch(r.GetEpoch()), sent, cowslipbend.Span(r.GetLease()), view.Usage); err != nil {
			b.log.Info("lease refused", "entry", url, "error", err)
		}
	}
	for _, a := range r.GetAcks() {
		b.tasks.Acknowledge(ctx, cowslipbend.TaskID(a.GetTask()), cowslipbend.Attempt(a.GetAttempt()))
	}
}
