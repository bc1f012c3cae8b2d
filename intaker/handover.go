package intaker

import (
	"context"
	"slices"

	"cowslipbend.dev"
)

// Limits of having another entry store a flow.
const (
	// handOverTimeout bounds one call to another entry.
	handOverTimeout = 700 * cowslipbend.Millisecond
	// firstPeers is how many entries besides the owner are asked first.
	firstPeers = 2
	// allPeersDelay is the time without success after which all other entries
	// are asked: several times a call and a write to the store.
	allPeersDelay = 150 * cowslipbend.Millisecond
)

// handOver has another entry store a flow. It asks the owner and a few others
// first, and all the rest if none of them succeeds. Storing the same flow more
// than once has no further effect.
func (i *Intaker) handOver(ctx context.Context, f *cowslipbend.Flow, peers []string) error {
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
				return nil
			}
			answered++
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
		return cowslipbend.Fail(cowslipbend.KindUnknown, "another entry may have stored the flow", "submit it again with the same id")
	case !running:
		return cowslipbend.Fail(cowslipbend.KindLeaving, "entry is shutting down", "submit the flow again")
	}
	return i.unavailable(nil)
}

// handOverToOwner has the owner store a flow that the store has refused to take
// from this entry: it may turn some entries away and serve others, in the first
// place the owner. KindDown means that the flow is not stored.
func (i *Intaker) handOverToOwner(p *submission) error {
	owner := i.owners.OwnerURL()
	if p.handedOver || owner == "" || i.owners.Conductor() != nil {
		return i.unavailable(nil)
	}
	return i.handOver(p.ctx, p.flow, []string{owner})
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
