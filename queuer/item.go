package queuer

import (
	"sort"

	"cowslipbend.dev"
)

// Tier orders kinds of work; lower tiers are served first.
type Tier int

// The tiers.
const (
	Service Tier = iota
	Urgent
	Normal
	Spare
	tiers
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

// Item is a task that waits.
type Item struct {
	Task cowslipbend.TaskID
	// Since is the wall time from which it waits, Ready when its back-off ends.
	Since cowslipbend.Time
	Ready cowslipbend.Time
}

func (i *Item) before(o *Item) bool {
	if i.Since != o.Since {
		return i.Since < o.Since
	}
	return i.Task < o.Task
}

// bundle is the waiting tasks of one job, oldest first.
type bundle struct {
	job   *cowslipbend.Job
	tier  Tier
	rank  cowslipbend.Time
	items []Item
}

func (b *bundle) before(o *bundle) bool {
	if b.rank != o.rank {
		return b.rank < o.rank
	}
	return b.job.ID < o.job.ID
}

func (b *bundle) find(item *Item) int {
	return sort.Search(len(b.items), func(i int) bool { return !b.items[i].before(item) })
}

func (b *bundle) add(item Item) {
	i := b.find(&item)
	b.items = append(b.items, Item{})
	copy(b.items[i+1:], b.items[i:])
	b.items[i] = item
}

func (b *bundle) remove(item Item) {
	i := b.find(&item)
	if i < len(b.items) && b.items[i].Task == item.Task {
		b.items = append(b.items[:i], b.items[i+1:]...)
	}
}

// line is the jobs of one team in one tier, oldest first.
type line []*bundle

func (l line) find(b *bundle) int {
	return sort.Search(len(l), func(i int) bool { return !l[i].before(b) })
}

func (l line) add(b *bundle) line {
	i := l.find(b)
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = b
	return l
}

func (l line) remove(b *bundle) line {
	i := l.find(b)
	if i < len(l) && l[i] == b {
		copy(l[i:], l[i+1:])
		l[len(l)-1] = nil
		l = l[:len(l)-1]
	}
	return l
}
