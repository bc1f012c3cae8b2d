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

// entryPrefix stands before the rows by which entries find each other.
const entryPrefix = "entry/"

// maxEntries bounds the entries that are read.
const maxEntries = 1000

// member is the content of an entry's row.
type member struct {
	ID     cowslipbend.EntryID     `json:"id"`
	URL    string                  `json:"url"`
	Domain cowslipbend.Domain      `json:"domain"`
	Life   cowslipbend.Incarnation `json:"life"`
}

// enrol writes this entry's row once, and reads those of the others again and
// again.
func (e *Entry) enrol(ctx context.Context) error {
	written := false
	for {
		if !written {
			written = e.write(ctx) == nil
		}
		if e.read(ctx) && written && !e.joined.Load() {
			_ = e.sync(ctx)
			e.joined.Store(true)
		}
		if !timer.Sleep(ctx, e.clock, e.pause(written)) {
			return nil
		}
	}
}

// pause is short until this entry has been written and others are known.
func (e *Entry) pause(written bool) cowslipbend.Span {
	if !written || len(e.track.Peers()) == 0 {
		return cowslipbend.Second
	}
	return memberPeriod
}

func (e *Entry) write(ctx context.Context) error {
	value, err := json.Marshal(member{ID: e.settings.ID, URL: e.URL(), Domain: e.settings.Domain, Life: e.life})
	if err != nil {
		return err
	}
	_, err = e.store.Commit(ctx, cowslipbend.Txn{Puts: []cowslipbend.Put{{Key: entryPrefix + string(e.settings.ID), Value: value}}})
	return err
}

// Joined reports whether this entry is written, has read the rows of the
// others and has called them once. Of two entries that start at the same time
// at least one then knows the other.
func (e *Entry) Joined() bool { return e.joined.Load() }

// read takes the rows of the other entries and reports whether the store
// answered.
func (e *Entry) read(ctx context.Context) bool {
	rows, err := e.store.Scan(ctx, entryPrefix, "", maxEntries)
	if err != nil {
		return false
	}
	for _, row := range rows {
		var m member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			e.log.Warn("entry's row is damaged", "row", row.Key, "error", err)
			continue
		}
		if m.ID != e.settings.ID {
			e.track.AddPeer(tracker.Peer{ID: m.ID, URL: m.URL, Domain: m.Domain, Life: m.Life})
		}
	}
	return true
}

// sync calls every other entry.
func (e *Entry) sync(ctx context.Context) error {
	var g errgroup.Group
	for _, p := range e.contacts() {
		g.Go(func() error {
			e.call(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
	e.compare()
	e.track.Sweep(agentSilence)
	e.limits.Tick(e.others())
	return nil
}

// contacts returns the entries to call: the known ones, and those of the
// settings that no known one stands for.
func (e *Entry) contacts() []tracker.Peer {
	peers := e.track.Peers()
	known := map[string]bool{e.URL(): true}
	for _, p := range peers {
		known[p.URL] = true
	}
	for _, url := range e.settings.Peers {
		if !known[url] {
			peers = append(peers, tracker.Peer{URL: url})
		}
	}
	return peers
}

// call exchanges membership with one entry.
func (e *Entry) call(ctx context.Context, p tracker.Peer) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	client := control.NewEntryProtobufClient(p.URL, e.http)
	reply, err := client.Sync(ctx, &control.SyncRequest{Self: toPeer(e.peer()), Revision: int64(e.config.Revision()), Counts: e.counts()})
	e.refused(p, err)
	if err != nil {
		return // Silence is what tells.
	}
	e.hear(reply.GetSelf(), cowslipbend.Revision(reply.GetRevision()))
	e.limits.UpdatePeer(p.ID, fromCounts(reply.GetCounts()))
	for _, other := range reply.GetPeers() {
		if cowslipbend.EntryID(other.GetId()) != e.settings.ID {
			e.track.AddPeer(fromPeer(other))
		}
	}
}

// maxRefused is the count of calls in a row that find nobody listening after
// which a peer counts as silent at once.
const maxRefused = 2

// refused counts the calls to a peer that found nobody listening.
func (e *Entry) refused(p tracker.Peer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		delete(e.refusals, p.Life)
		return
	}
	e.refusals[p.Life]++
	if e.refusals[p.Life] == maxRefused {
		e.track.MarkUnreachable(p.ID, p.Life)
	}
}

// compare has the pools looked at at once when the live entries have changed.
func (e *Entry) compare() {
	live := e.Witnesses()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Equal(live, e.live) {
		e.live = live
		e.owners.Nudge()
	}
}

// hear takes word from a peer itself.
func (e *Entry) hear(p *control.Peer, rev cowslipbend.Revision) {
	peer := fromPeer(p)
	peer.Revision = rev
	if peer.ID == "" || peer.ID == e.settings.ID {
		return
	}
	e.track.RecordContact(peer)
	e.config.Behind(peer.URL, rev)
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
