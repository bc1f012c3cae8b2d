package queuer

import (
	"container/heap"

	"cowslipbend.dev"
)

// Verdict is the result of an offer.
type Verdict int

// The verdicts.
const (
	// Placed means that the task got its reservation.
	Placed Verdict = iota
	// Skipped means that the task stays in the queue; the next one is offered.
	Skipped
	// Blocked means that all remaining tasks of the job stay in the queue; the
	// next job is offered.
	Blocked
	// Stopped means that no further task is to be offered.
	Stopped
)

// Offer tries to place a task within its team's quota and returns the resources
// that it reserved.
type Offer func(job *cowslipbend.Job, item Item, quota Quota) (cowslipbend.Resources, Verdict)

// Quota bounds what a team may still reserve.
type Quota struct {
	// Limited is set if the team has a quota; Remaining is valid only then.
	Limited   bool
	Remaining cowslipbend.Resources
}

// Allows reports whether the size is within the quota.
func (q Quota) Allows(size cowslipbend.Resources) bool { return !q.Limited || size.Fits(q.Remaining) }

// Serve offers the waiting tasks whose back-off has ended, in their order.
// Within a tier the team with the lowest dominant share of the total, divided by
// its weight, comes first. Reservations made by offers count towards shares and
// quotas until Serve returns; the caller must report those that last with Charge.
func (q *Queue) Serve(wall cowslipbend.Time, total cowslipbend.Resources, offer Offer) {
	q.promote(wall)
	reservedBefore := map[*team]cowslipbend.Resources{}
	defer func() {
		for t, reserved := range reservedBefore {
			t.reserved = reserved
		}
	}()
	s := &servePass{wall: wall, total: total, offer: offer, reservedBefore: reservedBefore}
	for tier := range tierCount {
		if !s.serveTier(q, tier) {
			return
		}
	}
}

// servePass is the state of one call of Serve.
type servePass struct {
	wall  cowslipbend.Time
	total cowslipbend.Resources
	offer Offer
	// reservedBefore holds what the teams charged in this call had reserved
	// before it.
	reservedBefore map[*team]cowslipbend.Resources
}

// cursor iterates over the waiting tasks of a team in one tier.
type cursor struct {
	team                *team
	jobs                jobList
	jobIndex, itemIndex int
	weightedShare       float64
}

// serveTier offers the tasks of one tier and reports whether to go on with the
// next.
func (s *servePass) serveTier(q *Queue, tier Tier) bool {
	var h cursorHeap
	for _, name := range q.teamNames {
		t := q.teams[name]
		if len(t.jobs[tier]) > 0 {
			h = append(h, &cursor{team: t, jobs: t.jobs[tier], weightedShare: s.weightedShare(t)})
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
		tasks := c.jobs[c.jobIndex]
		size, verdict := s.offer(tasks.job, item, c.quota(tier))
		switch verdict {
		case Placed:
			c.itemIndex++
			s.charge(c, tier, size)
			heap.Fix(&h, 0)
		case Skipped:
			c.itemIndex++
		case Blocked:
			c.jobIndex, c.itemIndex = c.jobIndex+1, 0
		case Stopped:
			return false
		}
	}
	return true
}

// next moves the cursor to the next task whose back-off has ended and returns
// it.
func (s *servePass) next(c *cursor) (Item, bool) {
	for c.jobIndex < len(c.jobs) {
		items := c.jobs[c.jobIndex].items
		for c.itemIndex < len(items) {
			if items[c.itemIndex].ReadyAt <= s.wall {
				return items[c.itemIndex], true
			}
			c.itemIndex++
		}
		c.jobIndex, c.itemIndex = c.jobIndex+1, 0
	}
	return Item{}, false
}

func (c *cursor) quota(tier Tier) Quota {
	if tier == Service || c.team.quota == (cowslipbend.Resources{}) {
		return Quota{}
	}
	return Quota{Limited: true, Remaining: c.team.quota.Minus(c.team.reserved)}
}

func (s *servePass) charge(c *cursor, tier Tier, size cowslipbend.Resources) {
	if tier == Service {
		return
	}
	if _, saved := s.reservedBefore[c.team]; !saved {
		s.reservedBefore[c.team] = c.team.reserved
	}
	c.team.reserved = c.team.reserved.Plus(size)
	c.weightedShare = s.weightedShare(c.team)
}

func (s *servePass) weightedShare(t *team) float64 { return t.reserved.Share(s.total) / t.weight }

// cursorHeap is a heap ordered by weighted share, then by team name.
type cursorHeap []*cursor

func (h cursorHeap) Len() int { return len(h) }

func (h cursorHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].team.name < h[j].team.name
}

func (h cursorHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a cursor.
func (h *cursorHeap) Push(x any) { *h = append(*h, x.(*cursor)) }

// Pop removes the last cursor.
func (h *cursorHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
