package intaker

import (
	"context"
	"slices"
	"sync"
	"time"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/caller"
)

// Limits of having another entry store a flow.
const (
	// handOverTimeout bounds the wait for the answer of another entry.
	handOverTimeout = 700 * cowslipbend.Millisecond
	// handOverMargin is the time before its caller's deadline from which on a flow is
	// not handed over again: a call that the deadline cuts short may have stored it, so
	// that it could no longer be refused. It is many times the usual call.
	handOverMargin = 200 * cowslipbend.Millisecond
	// firstPeers is how many entries besides the owner are asked first.
	firstPeers = 2
	// allPeersDelay is the time without success after which all other entries
	// are asked: several times a call and a write to the store.
	allPeersDelay = 150 * cowslipbend.Millisecond
	// isolationInterval is how long an entry counts as isolated after a hand-over
	// that no other entry answered. Then the next hand-over tries again.
	isolationInterval = cowslipbend.Second
)

// handOver has another entry store a flow. It asks the owner and a few others
// first, and all the rest if none of them succeeds. Storing the same flow more
// than once has no further effect.
//
// While the entry is isolated from all others, a flow is refused without a call:
// it is certainly not stored, and its caller reaches other entries sooner.
func (i *Intaker) handOver(ctx context.Context, f *cowslipbend.Flow, peers []string) error {
	if !i.isolation.mayCall(i.clock.Now()) {
		return i.unavailable(nil)
	}
	hasAnswer, err := i.callPeers(ctx, f, peers)
	i.isolation.record(hasAnswer || len(peers) == 0, i.clock.Now())
	return err
}

// isolation tells whether other entries have answered lately. It is safe for
// concurrent use.
type isolation struct {
	mu    sync.Mutex
	until cowslipbend.Time
}

// mayCall reports whether other entries may be called.
func (s *isolation) mayCall(now cowslipbend.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.until
}

// record records whether any other entry has answered.
func (s *isolation) record(answered bool, now cowslipbend.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until = 0; !answered {
		s.until = now.Add(isolationInterval)
	}
}

// callPeers implements handOver. It also reports whether any peer has answered.
func (i *Intaker) callPeers(ctx context.Context, f *cowslipbend.Flow, peers []string) (hasAnswer bool, err error) {
	peers = orderPeers(peers, i.owners.OwnerURL(), f.ID)
	results := make(chan error, len(peers))
	asked, answered := 0, 0
	// ask asks peers until that many are asked. It returns false if the entry is
	// shutting down.
	ask := func(count int) bool {
		for ; asked < count; asked++ {
			url := peers[asked]
			if !i.goroutines.Go(func() { results <- i.caller.Call(ctx, url+pathStore, f, nil, handOverTimeout) }) {
				return false
			}
		}
		return true
	}
	running := ask(min(firstPeers+1, len(peers)))
	askAll := i.clock.After(allPeersDelay)
	mayBeStored := false
	for answered < asked {
		select {
		case err := <-results:
			if err == nil {
				return true, nil
			}
			answered++
			hasAnswer = hasAnswer || caller.HasReply(err)
			mayBeStored = mayBeStored || cowslipbend.KindOf(err) != cowslipbend.KindDown
		case <-askAll:
			running = running && ask(len(peers))
		}
		if answered == asked && running {
			running = ask(len(peers))
		}
	}
	switch {
	case mayBeStored:
		return hasAnswer, cowslipbend.Fail(cowslipbend.KindUnknown, "another entry may have stored the flow", "submit it again with the same id")
	case !running:
		return hasAnswer, cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "submit the flow again")
	}
	return hasAnswer, i.unavailable(nil)
}

// handOverToOwner has the owner store a flow that the store has refused to take
// from this entry: it may turn some entries away and serve others, in the first
// place the owner. KindDown means that the flow is not stored.
func (i *Intaker) handOverToOwner(p *submission) error {
	owner := i.owners.OwnerURL()
	if p.handedOver || owner == "" || i.owners.Conductor() != nil || endsWithin(p.ctx, handOverMargin) {
		return i.unavailable(nil)
	}
	_, err := i.callPeers(p.ctx, p.flow, []string{owner})
	return err
}

// endsWithin reports whether the deadline of the context is less than the span away.
func endsWithin(ctx context.Context, span cowslipbend.Span) bool {
	left, bounded := timeLeft(ctx)
	return bounded && left < span
}

// timeLeft returns the time until the deadline of the context, if it has one.
func timeLeft(ctx context.Context) (left cowslipbend.Span, bounded bool) {
	deadline, bounded := ctx.Deadline()
	return cowslipbend.SpanOf(time.Until(deadline)), bounded
}

// orderPeers returns the peers in the order in which they are asked to store a
// flow: the owner, which has recently reached the store, then from a place that
// differs by flow, so that the load is spread.
func orderPeers(peers []string, owner string, id cowslipbend.JobID) []string {
	if len(peers) == 0 {
		return nil
	}
	start := int(cowslipbend.HashStrings([]string{string(id)}) % uint32(len(peers)))
	ordered := slices.Concat(peers[start:], peers[:start])
	if at := slices.Index(ordered, owner); at > 0 {
		ordered = slices.Insert(slices.Delete(ordered, at, at+1), 0, owner)
	}
	return ordered
}
