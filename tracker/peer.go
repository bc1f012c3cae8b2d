package tracker

import (
	"sort"

	"cowslipbend.dev"
)

// Peer is another entry.
type Peer struct {
	ID      cowslipbend.EntryID
	URL     string
	Domain  cowslipbend.Domain
	Life    cowslipbend.Incarnation
	Leaving bool
	// Revision is the revision of the configuration that it has in force.
	Revision cowslipbend.Revision
	// LastContact is the time of the last contact, zero if there was none or if the
	// peer was marked as unreachable since.
	LastContact cowslipbend.Time
}

// RecordContact stores what a peer has sent about itself, with the time of
// contact.
func (t *Tracker) RecordContact(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.LastContact = t.clock.Now()
	t.peers[p.ID] = p
}

// AddPeer adds a peer that is known from another source, such as another peer,
// if it is not known yet. It does not count as contact.
func (t *Tracker) AddPeer(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[p.ID]; !ok {
		t.peers[p.ID] = p
	}
}

// MarkUnreachable clears the time of contact of a peer whose process no longer
// listens at its URL, so that it does not count as live. It has no effect if
// the peer has a new incarnation.
func (t *Tracker) MarkUnreachable(id cowslipbend.EntryID, life cowslipbend.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[id]; ok && p.Life == life {
		p.LastContact = 0
		t.peers[id] = p
	}
}

// Peers returns all known entries in the order of their ids.
func (t *Tracker) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Live returns the peers that are not leaving and whose last contact is within
// the span.
func (t *Tracker) Live(within cowslipbend.Span) []Peer {
	now := t.clock.Now()
	var live []Peer
	for _, p := range t.Peers() {
		if !p.Leaving && p.LastContact > 0 && now.Sub(p.LastContact) <= within {
			live = append(live, p)
		}
	}
	return live
}
