package limiter

import (
	"math"

	"cowslipbend.dev"
)

// Parameters of how a limit is shared among entries.
const (
	// evenFraction is the fraction of a limit that is shared evenly whatever the
	// demand, so that an entry whose callers return can admit some requests at
	// once.
	evenFraction = 0.1
	// newestWeight is the weight of the newest window in the moving average of
	// an entry's demand.
	newestWeight = 0.5
	// freshAge is the age up to which a peer's demand has full weight, and
	// demandHalfLife the time in which the weight halves after that.
	freshAge       = 3 * cowslipbend.Second / 2
	demandHalfLife = cowslipbend.Second
)

// Usage is one entry's use of a limit, in requests per second.
type Usage struct {
	Key      string // the limit's name
	Admitted int64  // the rate admitted in the last window
	Demand   int64  // the moving average of the rate requested
}

// peerDemand is the demand that a peer reported last.
type peerDemand struct {
	rate       float64 // requests per second
	receivedAt cowslipbend.Time
}

// demand is the demand of this entry and its peers for one limit, in requests
// per second.
type demand struct {
	own   float64
	peers map[cowslipbend.EntryID]peerDemand
}

// Usages returns this entry's use of each limit in the last window, which the
// other entries need for their shares.
func (l *Limiter) Usages() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usages := make([]Usage, 0, len(l.buckets))
	for _, b := range l.buckets {
		usages = append(usages, b.lastWindow)
	}
	return usages
}

// UpdatePeer records the usages that a peer reported. Those of limits that are
// not in force here are ignored.
func (l *Limiter) UpdatePeer(peer cowslipbend.EntryID, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, u := range usages {
		for _, b := range l.buckets {
			if b.limit.Name == u.Key {
				b.demand.peers[peer] = peerDemand{rate: float64(max(u.Demand, 0)), receivedAt: now}
			}
		}
	}
}

// Tick ends a window and recomputes this entry's share of every limit among
// itself and its peers.
func (l *Limiter) Tick(peers []cowslipbend.EntryID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	seconds := float64(max(now.Sub(l.tickedAt), 1)) / float64(cowslipbend.Second)
	l.tickedAt = now
	l.entryCount = len(peers) + 1
	for _, b := range l.buckets {
		b.demand.own += (float64(b.requested)/seconds - b.demand.own) * newestWeight
		b.lastWindow = Usage{
			Key: b.limit.Name, Admitted: int64(math.Ceil(float64(b.admitted) / seconds)), Demand: int64(math.Ceil(b.demand.own)),
		}
		b.requested, b.admitted = 0, 0
		b.demand.retain(peers)
		b.setFraction(l.now(), b.demand.fraction(now, peers))
	}
}

// retain drops the demand of peers that are not live.
func (d *demand) retain(live []cowslipbend.EntryID) {
	kept := make(map[cowslipbend.EntryID]peerDemand, len(live))
	for _, id := range live {
		if received, ok := d.peers[id]; ok {
			kept[id] = received
		}
	}
	d.peers = kept
}

// fraction returns this entry's fraction of the limit: an even part, and the
// rest in proportion to demand. The weight of a peer that stops reporting decays
// and the mean demand takes its place, so that the shares tend to even ones.
func (d *demand) fraction(now cowslipbend.Time, peers []cowslipbend.EntryID) float64 {
	n := float64(len(peers) + 1)
	sum, weightSum := d.own, 1.0
	for _, received := range d.peers {
		weight := math.Exp2(-float64(max(now.Sub(received.receivedAt)-freshAge, 0)) / float64(demandHalfLife))
		sum += received.rate * weight
		weightSum += weight
	}
	mean := sum / weightSum
	total := sum + mean*(n-weightSum)
	if total == 0 {
		return 1 / n
	}
	return evenFraction/n + (1-evenFraction)*d.own/total
}
