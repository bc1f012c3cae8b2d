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
	// Revision is the configuration that it has in force.
	Revision cowslipbend.Revision
	Seen     cowslipbend.Time
}

// Hear takes word from a peer itself.
func (t *Tracker) Hear(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.Seen = t.clock.Now()
	t.peers[p.ID] = p
}

// Rumour adds a peer that another one named, without counting it as heard.
func (t *Tracker) Rumour(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.peers[p.ID]; !known {
		t.peers[p.ID] = p
	}
}

// Lost takes the word that nobody listens any more at the URL of a life of a
// peer, which then counts as silent.
func (t *Tracker) Lost(id cowslipbend.EntryID, life cowslipbend.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, known := t.peers[id]; known && p.Life == life {
		p.Seen = 0
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

// Live returns the entries heard of within the span that are not leaving.
func (t *Tracker) Live(within cowslipbend.Span) []Peer {
	now := t.clock.Now()
	var live []Peer
	for _, p := range t.Peers() {
		if !p.Leaving && p.Seen > 0 && now.Sub(p.Seen) <= within {
			live = append(live, p)
		}
	}
	return live
}
