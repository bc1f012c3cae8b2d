package admitter

import (
	"container/heap"

	"cowslipbend.dev"
)

// expiry is a heap of ended records, the first to be dropped on top.
type expiry []expiring

type expiring struct {
	id cowslipbend.RequestID
	at cowslipbend.Time
}

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].at < e[j].at }
func (e expiry) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiry) Push(x any) { *e = append(*e, x.(expiring)) }

// Pop implements heap.Interface.
func (e *expiry) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// retire sets when an ended record is dropped.
func (g *Gate) retire(id cowslipbend.RequestID, rec *record, at cowslipbend.Time) {
	rec.expires = at
	heap.Push(&g.queue, expiring{id: id, at: at})
}

// expire drops the records whose time has passed.
func (g *Gate) expire(now cowslipbend.Time) {
	for len(g.queue) > 0 && g.queue[0].at < now {
		id := heap.Pop(&g.queue).(expiring).id
		g.kept -= g.records[id].answer.size()
		delete(g.records, id)
	}
}
