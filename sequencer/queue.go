package sequencer

import (
	"math"
	"slices"

	"cowslipbend.dev"
)

// Parameters of the value of a flow, as callers state it: a part that is the same for
// all and one that grows with its work against the mean of its queue, up to a limit.
const (
	baseValue = 0.3
	workValue = 0.7
	maxValue  = 4
)

// Parameters of the sizes of a queue.
const (
	// maxSizes is the number of flows by which the sizes of a queue are judged.
	maxSizes = 64
	// minSizes is the number of flows from which large ones are told from others.
	minSizes = 10
	// topShare and upperShare are the shares of the flows of a queue below the largest
	// tenth, and below the fifth beneath that, which callers evaluate separately.
	topShare   = 0.9
	upperShare = 0.7
	// servedAim and servedFloor are how often flows of a size should and must be served
	// against their queue. Below the floor they get their whole share of the room, and
	// below the aim aimShare of it: more costs the queue more than these flows gain.
	servedAim   = 0.7
	servedFloor = 0.6
	aimShare    = 0.6
	// minOutcomes is the number of outcomes from which a size can be underserved.
	minOutcomes = 3
	// outcomeHalfLife is the time in which outcomes lose half of their weight.
	outcomeHalfLife = cowslipbend.Minute
	// givenHalfLife is the time in which placed work loses half of its weight. It spans
	// several flows, so that each size has its turn.
	givenHalfLife = 10 * cowslipbend.Second
	// maxQueues bounds the number of queues.
	maxQueues = 8192
)

// Size is a range of sizes of the flows of a queue.
type Size int

// The sizes.
const (
	// Usual flows are those below the others.
	Usual Size = iota
	// Upper flows are the fifth below the largest tenth.
	Upper
	// Top flows are the largest tenth.
	Top
	sizes
)

// String returns the name of the size.
func (z Size) String() string { return [...]string{"usual", "upper", "top"}[z] }

// SizeOf returns the size of a flow of the queue with the work.
func (s *Sequencer) SizeOf(id cowslipbend.QueueID, work float64) Size {
	if q := s.queues[id]; q != nil {
		return q.sizeOf(work)
	}
	return Usual
}

// queue holds the sizes of the flows of a queue, and how often they are served.
type queue struct {
	// works holds the work of the last flows, and next the index of the oldest.
	works []float64
	next  int
	// mean, upperLimit and topLimit are derived from works, and so are the shares of
	// the sizes in all work.
	mean, upperLimit, topLimit float64
	workShares                 [sizes]float64
	// served and ended count the outcomes by size, with the weights of updatedAt.
	served, ended [sizes]float64
	updatedAt     cowslipbend.Time
	// given sums the work of the placed tasks by size, with the weights of givenAt.
	given   [sizes]float64
	givenAt cowslipbend.Time
}

// Sequencer holds what the order of flows depends on besides the waiting ones. It is
// not safe for concurrent use.
type Sequencer struct {
	queues map[cowslipbend.QueueID]*queue
}

// New returns a sequencer.
func New() *Sequencer { return &Sequencer{queues: map[cowslipbend.QueueID]*queue{}} }

// Admit adds the work of a new flow, in core seconds, to the sizes of its queue.
func (s *Sequencer) Admit(id cowslipbend.QueueID, work float64, now cowslipbend.Time) {
	q := s.queues[id]
	if q == nil {
		s.makeRoom()
		q = &queue{updatedAt: now}
		s.queues[id] = q
	}
	if len(q.works) < maxSizes {
		q.works = append(q.works, work)
	} else {
		q.works[q.next] = work
		q.next = (q.next + 1) % maxSizes
	}
	sorted := slices.Sorted(slices.Values(q.works))
	q.mean = 0
	for _, size := range sorted {
		q.mean += size / float64(len(sorted))
	}
	q.upperLimit, q.topLimit = quantile(sorted, upperShare), quantile(sorted, topShare)
	q.workShares = [sizes]float64{}
	for _, size := range sorted {
		q.workShares[q.sizeOf(size)] += size / max(q.mean*float64(len(sorted)), minWork)
	}
}

// makeRoom removes the queue without an outcome for the longest time if there are
// maxQueues.
func (s *Sequencer) makeRoom() {
	if len(s.queues) < maxQueues {
		return
	}
	var oldest cowslipbend.QueueID
	found := false
	for id, q := range s.queues {
		if !found || q.updatedAt < s.queues[oldest].updatedAt {
			oldest, found = id, true
		}
	}
	delete(s.queues, oldest)
}

// quantile returns the value below which the share of the sorted values lies.
func quantile(sorted []float64, share float64) float64 {
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Record records whether a flow of the queue has met its target.
func (s *Sequencer) Record(id cowslipbend.QueueID, work float64, inTime bool, now cowslipbend.Time) {
	q := s.queues[id]
	if q == nil {
		return
	}
	decay := 1.0
	if now > q.updatedAt {
		decay = math.Exp2(-float64(now.Sub(q.updatedAt)) / float64(outcomeHalfLife))
		q.updatedAt = now
	}
	for b := range sizes {
		q.served[b] *= decay
		q.ended[b] *= decay
	}
	b := q.sizeOf(work)
	q.ended[b]++
	if inTime {
		q.served[b]++
	}
}

func (q *queue) sizeOf(work float64) Size {
	switch {
	case len(q.works) < minSizes:
		return Usual
	case work >= q.topLimit && work > q.mean:
		return Top
	case work >= q.upperLimit && work > q.mean:
		return Upper
	}
	return Usual
}

// Give records the placement of a task of a flow. The work is that of the flow, and
// the given work that of the task.
func (s *Sequencer) Give(id cowslipbend.QueueID, work, given float64, now cowslipbend.Time) {
	q := s.queues[id]
	if q == nil {
		return
	}
	if now > q.givenAt {
		decay := math.Exp2(-float64(now.Sub(q.givenAt)) / float64(givenHalfLife))
		for z := range sizes {
			q.given[z] *= decay
		}
		q.givenAt = now
	}
	q.given[q.sizeOf(work)] += given
}

// preferred reports whether flows of this size go before the others of their queue:
// they are served less often than they should be, and have lately got less of the room
// than they should.
func (s *Sequencer) preferred(id cowslipbend.QueueID, work float64) bool {
	q := s.queues[id]
	if q == nil {
		return false
	}
	z := q.sizeOf(work)
	if z == Usual || q.ended[z] < minOutcomes {
		return false
	}
	var served, ended, given float64
	for i := range sizes {
		served, ended, given = served+q.served[i], ended+q.ended[i], given+q.given[i]
	}
	rate, share := q.served[z]/q.ended[z]/max(served/ended, minWork), q.workShares[z]
	switch {
	case rate >= servedAim:
		return false
	case rate >= servedFloor:
		share *= aimShare
	}
	return q.given[z] < share*given
}

// value returns the value of a flow with the work, of a queue with the mean work.
func value(work, mean float64) float64 { return min(baseValue+workValue*work/mean, maxValue) }

// Density returns the value for each remaining core second of a flow, by which flows
// of a class are ordered. The mean is that of the work of its queue; zero if it is not
// known.
func Density(work, remainingWork, mean float64) float64 {
	density := 1 / max(remainingWork, minWork)
	if mean > 0 {
		density *= value(work, mean)
	}
	return density
}

// MeanWork returns the mean work of the last flows of a queue, or zero.
func (s *Sequencer) MeanWork(id cowslipbend.QueueID) float64 {
	if q := s.queues[id]; q != nil {
		return q.mean
	}
	return 0
}
