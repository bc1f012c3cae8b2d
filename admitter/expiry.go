package admitter

import (
	"container/heap"

	"cowslipbend.dev"
)

// expiryHeap orders the records of ended requests by the time at which they are
// dropped, the earliest on top.
type expiryHeap []expiryEntry

type expiryEntry struct {
	id        cowslipbend.RequestID
	expiresAt cowslipbend.Time
}

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scheduleExpiry sets the time at which the record of an ended request is
// dropped.
func (g *Gate) scheduleExpiry(id cowslipbend.RequestID, rec *record, expiresAt cowslipbend.Time) {
	rec.expiresAt = expiresAt
	heap.Push(&g.expiries, expiryEntry{id: id, expiresAt: expiresAt})
}

// dropExpired drops the records and kept answers that have expired.
func (g *Gate) dropExpired(now cowslipbend.Time) {
	for len(g.expiries) > 0 && g.expiries[0].expiresAt < now {
		id := heap.Pop(&g.expiries).(expiryEntry).id
		g.keptAnswersSize -= g.records[id].answer.size()
		delete(g.records, id)
	}
}
