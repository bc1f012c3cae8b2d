package limiter

import (
	"math"

	"cowslipbend.dev"
)

// Parameters of the shares.
const (
	// floor is the part of a limit that is shared out evenly, so that an entry
	// whose callers come back can admit some at once.
	floor = 0.1
	// weight is that of the newest window in the demand of an entry.
	weight = 0.5
	// fresh is the age up to which a peer's word counts whole, and fade the
	// time in which it halves after that.
	fresh = 3 * cowslipbend.Second / 2
	fade  = cowslipbend.Second
)

// Count is what one entry's callers want of a limit, in requests a second.
type Count struct {
	Key      string // the limit's name
	Admitted int64
	Wanted   int64
}

// heard is a peer's demand and when it came.
type heard struct {
	wanted float64
	at     cowslipbend.Time
}

// demand is what is known of all entries' demand for one limit.
type demand struct {
	own   float64
	peers map[cowslipbend.EntryID]heard
}

// Counts returns what to tell the other entries.
func (l *Limiter) Counts() []Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make([]Count, 0, len(l.buckets))
	for _, b := range l.buckets {
		counts = append(counts, b.last)
	}
	return counts
}

// Hear takes the counts of a peer. Those of limits that are not in force here
// are passed over.
func (l *Limiter) Hear(peer cowslipbend.EntryID, counts []Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, c := range counts {
		for _, b := range l.buckets {
			if b.limit.Name == c.Key {
				b.demand.peers[peer] = heard{wanted: float64(max(c.Wanted, 0)), at: now}
			}
		}
	}
}

// Tick ends a window and shares the limits among this entry and its peers.
func (l *Limiter) Tick(peers []cowslipbend.EntryID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	seconds := float64(max(now.Sub(l.ticked), 1)) / float64(cowslipbend.Second)
	l.ticked = now
	l.entries = len(peers) + 1
	for _, b := range l.buckets {
		b.demand.own += (float64(b.wanted)/seconds - b.demand.own) * weight
		b.last = Count{
			Key: b.limit.Name, Admitted: int64(math.Ceil(float64(b.admitted) / seconds)), Wanted: int64(math.Ceil(b.demand.own)),
		}
		b.wanted, b.admitted = 0, 0
		b.demand.forget(peers)
		b.share(l.now(), b.demand.part(now, peers))
	}
}

// forget drops what peers said that are gone.
func (d *demand) forget(live []cowslipbend.EntryID) {
	kept := make(map[cowslipbend.EntryID]heard, len(live))
	for _, id := range live {
		if h, ok := d.peers[id]; ok {
			kept[id] = h
		}
	}
	d.peers = kept
}

// part returns the own part of the whole, by demand above an even floor. The
// word of a silent peer fades to the mean of all, which is an even share.
func (d *demand) part(now cowslipbend.Time, peers []cowslipbend.EntryID) float64 {
	n := float64(len(peers) + 1)
	sum, weights := d.own, 1.0
	for _, h := range d.peers {
		w := math.Exp2(-float64(max(now.Sub(h.at)-fresh, 0)) / float64(fade))
		sum += h.wanted * w
		weights += w
	}
	mean := sum / weights
	whole := sum + mean*(n-weights)
	if whole == 0 {
		return 1 / n
	}
	return floor/n + (1-floor)*d.own/whole
}
