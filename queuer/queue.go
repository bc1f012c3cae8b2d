package queuer

import (
	"sort"

	"cowslipbend.dev"
)

// Queue holds the waiting tasks of a pool and what each team has reserved. It
// is not safe for concurrent use, and reads no clock.
//
// A job has a bundle exactly while one of its tasks waits.
type Queue struct {
	// age is the wait after which spare work counts as normal.
	age     cowslipbend.Span
	bundles map[cowslipbend.JobID]*bundle
	teams   map[cowslipbend.TeamID]*team
	names   []cowslipbend.TeamID // sorted
	length  int
}

// team is the waiting jobs of a team and what its batch has reserved.
type team struct {
	name  cowslipbend.TeamID
	lines [tiers]line
	used  cowslipbend.Resources
	share float64
	quota cowslipbend.Resources
}

// New returns an empty queue in which spare work counts as normal after the
// age.
func New(age cowslipbend.Span) *Queue {
	return &Queue{age: age, bundles: map[cowslipbend.JobID]*bundle{}, teams: map[cowslipbend.TeamID]*team{}}
}

// Declare sets shares and quotas. Teams that are not declared have share 1
// and no quota.
func (q *Queue) Declare(declared []cowslipbend.Team) {
	for _, t := range q.teams {
		t.share, t.quota = 1, cowslipbend.Resources{}
	}
	for i := range declared {
		t := q.team(declared[i].Name)
		t.quota = declared[i].Quota
		if declared[i].Share > 0 {
			t.share = declared[i].Share
		}
	}
}

func (q *Queue) team(name cowslipbend.TeamID) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{name: name, share: 1}
		q.teams[name] = t
		i := sort.Search(len(q.names), func(i int) bool { return q.names[i] >= name })
		q.names = append(q.names, "")
		copy(q.names[i+1:], q.names[i:])
		q.names[i] = name
	}
	return t
}

// Len counts the waiting tasks.
func (q *Queue) Len() int { return q.length }

// Waiting counts the waiting tasks of a job.
func (q *Queue) Waiting(job cowslipbend.JobID) int {
	if b, ok := q.bundles[job]; ok {
		return len(b.items)
	}
	return 0
}

// Add puts a waiting task in. Jobs are served in the order of the wall time at
// which they were submitted.
func (q *Queue) Add(job *cowslipbend.Job, submitted cowslipbend.Time, item Item) {
	b, ok := q.bundles[job.ID]
	if !ok {
		b = &bundle{job: job, tier: TierOf(job), rank: submitted}
		q.bundles[job.ID] = b
		t := q.team(job.Team)
		t.lines[b.tier] = t.lines[b.tier].add(b)
	}
	b.add(item)
	q.length++
}

// Remove takes a waiting task out.
func (q *Queue) Remove(job *cowslipbend.Job, item Item) {
	b, ok := q.bundles[job.ID]
	if !ok {
		return
	}
	before := len(b.items)
	b.remove(item)
	q.length -= before - len(b.items)
	if len(b.items) > 0 {
		return
	}
	delete(q.bundles, job.ID)
	t := q.team(job.Team)
	t.lines[b.tier] = t.lines[b.tier].remove(b)
}

// Charge adds to what a team's batch has reserved; Refund takes it off.
func (q *Queue) Charge(name cowslipbend.TeamID, size cowslipbend.Resources) {
	t := q.team(name)
	t.used = t.used.Plus(size)
}

// Refund takes a reservation off.
func (q *Queue) Refund(name cowslipbend.TeamID, size cowslipbend.Resources) {
	t := q.team(name)
	t.used = t.used.Minus(size)
}

// Used returns what a team's batch has reserved.
func (q *Queue) Used(name cowslipbend.TeamID) cowslipbend.Resources {
	if t, ok := q.teams[name]; ok {
		return t.used
	}
	return cowslipbend.Resources{}
}

// promote moves spare jobs that have waited long to the normal tier.
func (q *Queue) promote(wall cowslipbend.Time) {
	for _, t := range q.teams {
		for len(t.lines[Spare]) > 0 && wall.Sub(t.lines[Spare][0].rank) >= q.age {
			b := t.lines[Spare][0]
			t.lines[Spare] = t.lines[Spare].remove(b)
			b.tier, b.rank = Normal, b.rank.Add(q.age)
			t.lines[Normal] = t.lines[Normal].add(b)
		}
	}
}
