package queuer

import (
	"sort"

	"cowslipbend.dev"
)

// Queue holds the waiting tasks of a pool and the resources that each team has
// reserved. It is not safe for concurrent use, and reads no clock.
type Queue struct {
	// promoteAfter is the wait after which a spare job is served as normal.
	promoteAfter cowslipbend.Span
	// jobs has an entry for a job exactly while one of its tasks waits.
	jobs      map[cowslipbend.JobID]*jobTasks
	teams     map[cowslipbend.TeamID]*team
	teamNames []cowslipbend.TeamID // sorted
	length    int
}

// team holds a team's waiting jobs, its weight (the declared share) and quota,
// and the resources that its batch tasks have reserved.
type team struct {
	name     cowslipbend.TeamID
	jobs     [tierCount]jobList
	reserved cowslipbend.Resources
	weight   float64
	quota    cowslipbend.Resources
}

// New returns an empty queue in which a spare job is served as normal once it
// has waited for promoteAfter.
func New(promoteAfter cowslipbend.Span) *Queue {
	return &Queue{promoteAfter: promoteAfter, jobs: map[cowslipbend.JobID]*jobTasks{}, teams: map[cowslipbend.TeamID]*team{}}
}

// Declare sets the shares and quotas of all teams. Teams that are not declared
// have share 1 and no quota.
func (q *Queue) Declare(declared []cowslipbend.Team) {
	for _, t := range q.teams {
		t.weight, t.quota = 1, cowslipbend.Resources{}
	}
	for i := range declared {
		t := q.team(declared[i].Name)
		t.quota = declared[i].Quota
		if declared[i].Share > 0 {
			t.weight = declared[i].Share
		}
	}
}

func (q *Queue) team(name cowslipbend.TeamID) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{name: name, weight: 1}
		q.teams[name] = t
		i := sort.Search(len(q.teamNames), func(i int) bool { return q.teamNames[i] >= name })
		q.teamNames = append(q.teamNames, "")
		copy(q.teamNames[i+1:], q.teamNames[i:])
		q.teamNames[i] = name
	}
	return t
}

// Len returns the count of waiting tasks.
func (q *Queue) Len() int { return q.length }

// Waiting returns the count of waiting tasks of a job.
func (q *Queue) Waiting(job cowslipbend.JobID) int {
	if tasks, ok := q.jobs[job]; ok {
		return len(tasks.items)
	}
	return 0
}

// Add adds a waiting task. Within a tier, a team's jobs are served in the order
// of the wall time at which they were submitted.
func (q *Queue) Add(job *cowslipbend.Job, submittedAt cowslipbend.Time, item Item) {
	tasks, ok := q.jobs[job.ID]
	if !ok {
		tasks = &jobTasks{job: job, tier: TierOf(job), sortTime: submittedAt}
		q.jobs[job.ID] = tasks
		t := q.team(job.Team)
		t.jobs[tasks.tier] = t.jobs[tasks.tier].add(tasks)
	}
	tasks.add(item)
	q.length++
}

// Remove removes a task that no longer waits.
func (q *Queue) Remove(job *cowslipbend.Job, item Item) {
	tasks, ok := q.jobs[job.ID]
	if !ok {
		return
	}
	before := len(tasks.items)
	tasks.remove(item)
	q.length -= before - len(tasks.items)
	if len(tasks.items) > 0 {
		return
	}
	delete(q.jobs, job.ID)
	t := q.team(job.Team)
	t.jobs[tasks.tier] = t.jobs[tasks.tier].remove(tasks)
}

// Charge adds a reservation to those of the team's batch tasks.
func (q *Queue) Charge(name cowslipbend.TeamID, size cowslipbend.Resources) {
	t := q.team(name)
	t.reserved = t.reserved.Plus(size)
}

// Refund subtracts a reservation from those of the team's batch tasks.
func (q *Queue) Refund(name cowslipbend.TeamID, size cowslipbend.Resources) {
	t := q.team(name)
	t.reserved = t.reserved.Minus(size)
}

// Reserved returns the resources that the team's batch tasks have reserved.
func (q *Queue) Reserved(name cowslipbend.TeamID) cowslipbend.Resources {
	if t, ok := q.teams[name]; ok {
		return t.reserved
	}
	return cowslipbend.Resources{}
}

// promote moves spare jobs that have waited for promoteAfter to the normal
// tier.
func (q *Queue) promote(wall cowslipbend.Time) {
	for _, t := range q.teams {
		for len(t.jobs[Spare]) > 0 && wall.Sub(t.jobs[Spare][0].sortTime) >= q.promoteAfter {
			tasks := t.jobs[Spare][0]
			t.jobs[Spare] = t.jobs[Spare].remove(tasks)
			tasks.tier, tasks.sortTime = Normal, tasks.sortTime.Add(q.promoteAfter)
			t.jobs[Normal] = t.jobs[Normal].add(tasks)
		}
	}
}
