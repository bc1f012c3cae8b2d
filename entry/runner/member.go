package runner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"syscall"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/timer"
	"cowslipbend.dev/tracker"
)

// entryPrefix is the key prefix of the rows by which entries find each other.
const entryPrefix = "entry/"

// maxEntries is the number of entry rows that are read at most.
const maxEntries = 1000

// memberRow is the stored row of an entry.
type memberRow struct {
	ID     cowslipbend.EntryID     `json:"id"`
	URL    string                  `json:"url"`
	Domain cowslipbend.Domain      `json:"domain"`
	Life   cowslipbend.Incarnation `json:"life"`
}

// maintainMembership writes this entry's row, retrying until that succeeds, and
// polls the rows of the other entries until the context ends.
func (e *Entry) maintainMembership(ctx context.Context) error {
	written := false
	for {
		if !written {
			written = e.writeMember(ctx) == nil
		}
		if e.readMembers(ctx) && written && !e.joined.Load() {
			_ = e.syncPeers(ctx)
			e.joined.Store(true)
		}
		if !timer.Sleep(ctx, e.clock, e.memberPollDelay(written)) {
			return nil
		}
	}
}

// memberPollDelay returns the time to the next poll. It is short until this
// entry's row has been written and another entry is known.
func (e *Entry) memberPollDelay(written bool) cowslipbend.Span {
	if !written || len(e.tracker.Peers()) == 0 {
		return cowslipbend.Second
	}
	return memberPollInterval
}

func (e *Entry) writeMember(ctx context.Context) error {
	value, err := json.Marshal(memberRow{ID: e.settings.ID, URL: e.URL(), Domain: e.settings.Domain, Life: e.life})
	if err != nil {
		return err
	}
	_, err = e.store.Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: entryPrefix + string(e.settings.ID), Value: value}}})
	return err
}

// Joined reports whether this entry has written its row, then read the rows of
// the other entries and called them once. Of two entries that start at the same
// time at least one then knows the other.
func (e *Entry) Joined() bool { return e.joined.Load() }

// readMembers adds the other entries whose rows are in the store to the
// tracker, and reports whether the store answered.
func (e *Entry) readMembers(ctx context.Context) bool {
	rows, err := e.store.Scan(ctx, entryPrefix, "", maxEntries)
	if err != nil {
		return false
	}
	for _, row := range rows {
		var m memberRow
		if err := json.Unmarshal(row.Value, &m); err != nil {
			e.log.Warn("cannot decode the row of an entry, skipping it", "row", row.Key, "error", err)
			continue
		}
		if m.ID != e.settings.ID {
			e.tracker.AddPeer(tracker.Peer{ID: m.ID, URL: m.URL, Domain: m.Domain, Life: m.Life})
		}
	}
	return true
}

// syncPeers exchanges membership with all other entries, then updates what
// depends on it: the pools to own, the agents to route to, and this entry's
// shares of the limits.
func (e *Entry) syncPeers(ctx context.Context) error {
	var g errgroup.Group
	for _, p := range e.syncTargets() {
		g.Go(func() error {
			e.syncPeer(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	e.wakeOnLiveChange()
	e.tracker.ExpireTargets(agentTimeout)
	e.limits.Tick(e.otherEntries())
	return nil
}

// syncTargets returns the entries to call: all known ones, and those in the
// settings whose URL is not that of a known entry.
func (e *Entry) syncTargets() []tracker.Peer {
	targets := e.tracker.Peers()
	knownURLs := map[string]bool{e.URL(): true}
	for _, p := range targets {
		knownURLs[p.URL] = true
	}
	for _, url := range e.settings.Peers {
		if !knownURLs[url] {
			targets = append(targets, tracker.Peer{URL: url})
		}
	}
	return targets
}

// syncPeer exchanges membership and the usages of the limits with one entry.
func (e *Entry) syncPeer(ctx context.Context, p tracker.Peer) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	client := control.NewEntryProtobufClient(p.URL, e.http)
	reply, err := client.Sync(ctx, &control.SyncRequest{Self: toPeer(e.self()), Revision: int64(e.config.Revision()), Counts: e.limitUsages()})
	e.countRefusedDial(p, err)
	if err != nil {
		return // The tracker times out entries that do not answer.
	}
	e.recordPeer(reply.GetSelf(), cowslipbend.Revision(reply.GetRevision()))
	e.limits.UpdatePeer(p.ID, toUsages(reply.GetCounts()))
	for _, other := range reply.GetPeers() {
		if cowslipbend.EntryID(other.GetId()) != e.settings.ID {
			e.tracker.AddPeer(fromPeer(other))
		}
	}
}

// maxRefusedDials is the number of consecutive calls with a refused connection
// after which an entry is marked unreachable without waiting for peerTimeout.
const maxRefusedDials = 2

// countRefusedDial counts consecutive refused connections to an entry and marks
// it unreachable after maxRefusedDials. Any other result resets the count.
func (e *Entry) countRefusedDial(p tracker.Peer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		delete(e.refusedDials, p.Life)
		return
	}
	e.refusedDials[p.Life]++
	if e.refusedDials[p.Life] == maxRefusedDials {
		e.tracker.MarkUnreachable(p.ID, p.Life)
	}
}

// wakeOnLiveChange triggers a poll of the pools' heads if the set of live
// entries has changed, so that pools of a lost entry are taken over early.
func (e *Entry) wakeOnLiveChange() {
	live := e.Witnesses()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Equal(live, e.liveWitnesses) {
		e.liveWitnesses = live
		e.owners.Wake()
	}
}

// recordPeer records direct contact with an entry and its revision.
func (e *Entry) recordPeer(p *control.Peer, rev cowslipbend.Revision) {
	peer := fromPeer(p)
	peer.Revision = rev
	if peer.ID == "" || peer.ID == e.settings.ID {
		return
	}
	e.tracker.RecordContact(peer)
	e.config.OfferRevision(peer.URL, rev)
}

func toPeer(p tracker.Peer) *control.Peer {
	return &control.Peer{Id: string(p.ID), Url: p.URL, Domain: string(p.Domain), Life: string(p.Life), Leaving: p.Leaving}
}

func fromPeer(p *control.Peer) tracker.Peer {
	return tracker.Peer{
		ID: cowslipbend.EntryID(p.GetId()), URL: p.GetUrl(), Domain: cowslipbend.Domain(p.GetDomain()),
		Life: cowslipbend.Incarnation(p.GetLife()), Leaving: p.GetLeaving(),
	}
}
