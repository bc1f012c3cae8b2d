package queuer

import (
	"sort"

	"cowslipbend.dev"
)

// Tier is a priority level; lower values are served first.
type Tier int

// The tiers. Spare jobs that have waited long enough are served as Normal.
const (
	Service Tier = iota
	Urgent
	Normal
	Spare
	tierCount
)

// TierOf returns the tier of a job.
func TierOf(j *cowslipbend.Job) Tier {
	switch {
	case !j.Batch():
		return Service
	case j.Urgency == cowslipbend.Urgent:
		return Urgent
	case j.Urgency == cowslipbend.Spare:
		return Spare
	}
	return Normal
}

// Item is a task that waits for a worker.
type Item struct {
	Task cowslipbend.TaskID
	// WaitingSince is the wall time at which the task began to wait,
	// ReadyAt the wall time at which its back-off ends.
	WaitingSince cowslipbend.Time
	ReadyAt      cowslipbend.Time
}

func (i *Item) before(o *Item) bool {
	if i.WaitingSince != o.WaitingSince {
		return i.WaitingSince < o.WaitingSince
	}
	return i.Task < o.Task
}

// jobTasks are the waiting tasks of one job, the longest waiting first.
type jobTasks struct {
	job  *cowslipbend.Job
	tier Tier
	// sortTime orders the jobs of a team within a tier: the wall time of
	// submission, or that of the promotion from Spare to Normal.
	sortTime cowslipbend.Time
	items    []Item
}

func (t *jobTasks) before(o *jobTasks) bool {
	if t.sortTime != o.sortTime {
		return t.sortTime < o.sortTime
	}
	return t.job.ID < o.job.ID
}

func (t *jobTasks) find(item *Item) int {
	return sort.Search(len(t.items), func(i int) bool { return !t.items[i].before(item) })
}

func (t *jobTasks) add(item Item) {
	i := t.find(&item)
	t.items = append(t.items, Item{})
	copy(t.items[i+1:], t.items[i:])
	t.items[i] = item
}

func (t *jobTasks) remove(item Item) {
	i := t.find(&item)
	if i < len(t.items) && t.items[i].Task == item.Task {
		t.items = append(t.items[:i], t.items[i+1:]...)
	}
}

// jobList holds the jobs of one team in one tier, ordered by sortTime.
type jobList []*jobTasks

func (l jobList) find(tasks *jobTasks) int {
	return sort.Search(len(l), func(i int) bool { return !l[i].before(tasks) })
}

func (l jobList) add(tasks *jobTasks) jobList {
	i := l.find(tasks)
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = tasks
	return l
}

func (l jobList) remove(tasks *jobTasks) jobList {
	i := l.find(tasks)
	if i < len(l) && l[i] == tasks {
		copy(l[i:], l[i+1:])
		l[len(l)-1] = nil
		l = l[:len(l)-1]
	}
	return l
}
