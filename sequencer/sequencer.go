package sequencer

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// Class tells what a waiting flow can still reach.
type Class int

// The classes in their order.
const (
	// Timely flows can still meet their target, or last.
	Timely Class = iota
	// Late flows miss their target and can still be useful, or have no target.
	Late
	// Useless flows would end after the time in which callers use them.
	Useless
)

// Parameters of the order.
const (
	// agedTimeout is the time without a placement after which a useless flow goes
	// first in its priority, one flow at a time. It is ten times the wait after which
	// callers regard a flow as forgotten.
	agedTimeout = 30 * cowslipbend.Second
	// maxUse is the use of processors from which the flows of an account count less,
	// against the mean of the accounts with waiting flows of its priority.
	maxUse = 2
	// minWork is the least remaining work that is counted, in core seconds.
	minWork = 0.001
)

// Item is a waiting flow.
type Item struct {
	// Index is the caller's number of the flow.
	Index int
	ID    cowslipbend.JobID
	Queue cowslipbend.QueueID
	// Account is the client account on whose behalf the flow runs.
	Account  string
	Priority int
	Class    Class
	// Bounded is set if the flow has a latency target.
	Bounded bool
	// Work and RemainingWork are the expected work of the whole flow and the part
	// of it that is left, in core seconds.
	Work          float64
	RemainingWork float64
	AcceptedAt    cowslipbend.Time
	// Unplaced is the time for which no task of the flow has been placed although
	// some wait.
	Unplaced cowslipbend.Span

	// preferred is set if flows of this size have a share of the room to make up for.
	// density is the value for each remaining core second, and rank that by which the
	// item is ordered.
	preferred     bool
	density, rank float64
}

// Density returns the value for each remaining core second, as of the last Sort.
func (it *Item) Density() float64 { return it.density }

// Sort sorts the items. The use is the number of processors in use by account.
func (s *Sequencer) Sort(items []Item, use map[string]float64) {
	for i := range items {
		it := &items[i]
		mean := 0.0
		if it.Bounded {
			mean = s.MeanWork(it.Queue)
			it.preferred = it.Class == Timely && s.preferred(it.Queue, it.Work)
		}
		it.density = Density(it.Work, it.RemainingWork, mean)
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Priority, b.Priority) })
	for begin := 0; begin < len(items); {
		end := begin + 1
		for end < len(items) && items[end].Priority == items[begin].Priority {
			end++
		}
		sortPriority(items[begin:end], use)
		begin = end
	}
}

// sortPriority sorts items of one priority.
func sortPriority(items []Item, use map[string]float64) {
	rank(items, use)
	slices.SortFunc(items, compare)
	moveAged(items)
}

func compare(a, b Item) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class), compareBool(b.preferred, a.preferred), cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// rank sets the rank of the items. That of bounded items is reduced by as much as their
// account uses more than maxUse times the mean of the waiting accounts.
func rank(items []Item, use map[string]float64) {
	accounts, total := map[string]bool{}, 0.0
	for i := range items {
		if it := &items[i]; it.Bounded && !accounts[it.Account] {
			accounts[it.Account] = true
			total += use[it.Account]
		}
	}
	limit := maxUse * total / float64(max(len(accounts), 1))
	for i := range items {
		it := &items[i]
		it.rank = it.density
		if it.Bounded && use[it.Account] > limit {
			it.rank *= limit / use[it.Account]
		}
	}
}

// moveAged moves the useless item without a placement for the longest time to the
// front if that is longer than agedTimeout. It has its turn until a task of it has
// been placed, so that each of them gets some room in the end.
func moveAged(items []Item) {
	oldest := -1
	for i := range items {
		if it := &items[i]; it.Class == Useless && it.Unplaced > agedTimeout && (oldest < 0 || it.Unplaced > items[oldest].Unplaced) {
			oldest = i
		}
	}
	if oldest > 0 {
		aged := items[oldest]
		copy(items[1:oldest+1], items[:oldest])
		items[0] = aged
	}
}
