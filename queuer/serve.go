package queuer

import (
	"container/heap"

	"cowslipbend.dev"
)

// Verdict is what became of an offered task.
type Verdict int

// The verdicts.
const (
	// Placed means that the task got its reservation.
	Placed Verdict = iota
	// Passed means that this task waits on.
	Passed
	// Blocked means that all tasks of the job wait on.
	Blocked
	// Stopped ends the serving.
	Stopped
)

// Offer tries to place a task within the limit of its team's quota, if the
// team has one, and returns what it reserved.
type Offer func(job *cowslipbend.Job, item Item, within Quota) (cowslipbend.Resources, Verdict)

// Quota bounds what a team may still reserve.
type Quota struct {
	Set  bool
	Left cowslipbend.Resources
}

// Allows reports whether the size is within the quota.
func (q Quota) Allows(size cowslipbend.Resources) bool { return !q.Set || size.Fits(q.Left) }

// Serve offers the waiting tasks in their order. Within a tier the team with
// the lowest dominant share of the total, divided by its weight, comes first.
// Reservations count at once, but only until Serve returns.
func (q *Queue) Serve(wall cowslipbend.Time, total cowslipbend.Resources, offer Offer) {
	q.promote(wall)
	charged := map[*team]cowslipbend.Resources{}
	defer func() {
		for t, used := range charged {
			t.used = used
		}
	}()
	s := &serving{wall: wall, total: total, offer: offer, charged: charged}
	for tier := range tiers {
		if !s.tier(q, tier) {
			return
		}
	}
}

// serving is the state of one call of Serve.
type serving struct {
	wall    cowslipbend.Time
	total   cowslipbend.Resources
	offer   Offer
	charged map[*team]cowslipbend.Resources // as it was before
}

// cursor walks the waiting tasks of a team.
type cursor struct {
	team      *team
	line      line
	job, item int
	key       float64
}

// tier serves one tier and reports whether to go on.
func (s *serving) tier(q *Queue, tier Tier) bool {
	var h cursors
	for _, name := range q.names {
		t := q.teams[name]
		if len(t.lines[tier]) > 0 {
			h = append(h, &cursor{team: t, line: t.lines[tier], key: s.key(t)})
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		c := h[0]
		item, ok := s.next(c)
		if !ok {
			heap.Pop(&h)
			continue
		}
		b := c.line[c.job]
		size, verdict := s.offer(b.job, item, c.quota(tier))
		switch verdict {
		case Placed:
			c.item++
			s.charge(c, tier, size)
			heap.Fix(&h, 0)
		case Passed:
			c.item++
		case Blocked:
			c.job, c.item = c.job+1, 0
		case Stopped:
			return false
		}
	}
	return true
}

// next moves the cursor to a task whose back-off is over.
func (s *serving) next(c *cursor) (Item, bool) {
	for c.job < len(c.line) {
		items := c.line[c.job].items
		for c.item < len(items) {
			if items[c.item].Ready <= s.wall {
				return items[c.item], true
			}
			c.item++
		}
		c.job, c.item = c.job+1, 0
	}
	return Item{}, false
}

func (c *cursor) quota(tier Tier) Quota {
	if tier == Service || c.team.quota == (cowslipbend.Resources{}) {
		return Quota{}
	}
	return Quota{Set: true, Left: c.team.quota.Minus(c.team.used)}
}

func (s *serving) charge(c *cursor, tier Tier, size cowslipbend.Resources) {
	if tier == Service {
		return
	}
	if _, noted := s.charged[c.team]; !noted {
		s.charged[c.team] = c.team.used
	}
	c.team.used = c.team.used.Plus(size)
	c.key = s.key(c.team)
}

func (s *serving) key(t *team) float64 { return t.used.Share(s.total) / t.share }

// cursors is a heap by key, then by name.
type cursors []*cursor

func (h cursors) Len() int { return len(h) }

func (h cursors) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].team.name < h[j].team.name
}

func (h cursors) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a cursor.
func (h *cursors) Push(x any) { *h = append(*h, x.(*cursor)) }

// Pop removes the last cursor.
func (h *cursors) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
