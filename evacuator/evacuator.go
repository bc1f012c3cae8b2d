package evacuator

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// Limits of the moves.
const (
	// settleTime is how long a domain must have been out of service before
	// anything leaves it, so that a request that is taken back at once moves
	// nothing.
	settleTime = 5 * cowslipbend.Second
	// moveInterval is the shortest time between two moves. It spreads the starts
	// over the other hosts.
	moveInterval = 250 * cowslipbend.Millisecond
	// maxInFlight limits the moves whose task is not at work again.
	maxInFlight = 4
	// endsSoon is the remaining time up to which a run is left to end: a move
	// takes a second or two, and the operator waits that long in any case.
	endsSoon = 10 * cowslipbend.Second
	// moveCost is the time that a task stands still for a move: the stop, a
	// commit and the start.
	moveCost = cowslipbend.Second
	// maxCostDivisor bounds the cost of a move to this part of the remaining
	// time. What is lost is run a second time.
	maxCostDivisor = 4
	// justSaved is the age of a checkpoint up to which a move loses next to
	// nothing. It exceeds the interval between two reports.
	justSaved = 700 * cowslipbend.Millisecond
	// spareHosts is how many more hosts than moves must have room for the task,
	// as other work may take the room before the task is placed again.
	spareHosts = 1
)

// Reason is why a run leaves its domain or stays.
type Reason string

// The reasons to leave.
const (
	// Lasting is for a task that does not end by itself.
	Lasting Reason = "lasting"
	// Saved is for a run that has just saved a checkpoint.
	Saved Reason = "saved"
	// Long is for a run that has much more left than it loses.
	Long Reason = "long"
)

// The reasons to stay.
const (
	// Leaving is for a run that is being stopped already.
	Leaving Reason = "leaving"
	// Settling is for a run whose domain has not been out for long.
	Settling Reason = "settling"
	// Starting is for a run that has not confirmed its start.
	Starting Reason = "starting"
	// EndsSoon is for a run that ends before a move would help.
	EndsSoon Reason = "ends soon"
	// AwaitsCheckpoint is for a run that will leave after its next checkpoint.
	AwaitsCheckpoint Reason = "awaits checkpoint"
	// CostsMore is for a run that would lose more than it gains.
	CostsMore Reason = "costs more"
	// Gang is for a member of a gang, which would have to stop as a whole.
	Gang Reason = "gang"
	// Missing is for a task of a step of which as many are down as may be.
	Missing Reason = "missing"
	// NoRoom is for a run for which too few other hosts have room.
	NoRoom Reason = "no room"
	// Turn is for a run that waits until others have moved.
	Turn Reason = "turn"
)

// StayReasons returns all reasons to stay.
func StayReasons() []Reason {
	return []Reason{Leaving, Settling, Starting, EndsSoon, AwaitsCheckpoint, CostsMore, Gang, Missing, NoRoom, Turn}
}

// Run is a run on a host of a domain that is out of service.
type Run struct {
	Ref cowslipbend.RunRef
	// OutFor is how long its domain has been out of service.
	OutFor cowslipbend.Span
	// Confirmed is set once the host has listed the run, Moving once it is to be
	// stopped.
	Confirmed bool
	Moving    bool
	Gang      bool
	// Lasting is set if the run does not end by itself. MaxMissing is then how
	// many tasks of the step may be down, and Missing how many are not at work.
	Lasting    bool
	MaxMissing int
	Missing    int
	// Remaining is the expected time to the end of a run that is not lasting,
	// Unsaved the run time that a move would lose.
	Remaining        cowslipbend.Span
	SavesCheckpoints bool
	Unsaved          cowslipbend.Span
	// Room returns the number of hosts that could take the task now.
	Room func() int
}

// Move is a run that leaves its domain.
type Move struct {
	Ref    cowslipbend.RunRef
	Reason Reason
}

// Decision tells which run leaves, if any, and why the others stay.
type Decision struct {
	Move  *Move
	Stays map[Reason]int
}

// Evacuator decides on one move at a time. The zero value is ready to use.
type Evacuator struct {
	movedAt cowslipbend.Time
}

// candidate is a run that could leave.
type candidate struct {
	run    *Run
	reason Reason
}

// Decide decides which run leaves next. InFlight is the number of tasks that left
// and are not at work again.
func (e *Evacuator) Decide(runs []Run, inFlight int, now cowslipbend.Time) Decision {
	d := Decision{Stays: map[Reason]int{}}
	var candidates []candidate
	for i := range runs {
		if why, leaves := runs[i].assess(); leaves {
			candidates = append(candidates, candidate{&runs[i], why})
		} else {
			d.Stays[why]++
		}
	}
	if inFlight >= maxInFlight || (e.movedAt > 0 && now.Sub(e.movedAt) < moveInterval) {
		d.stay(Turn, len(candidates))
		return d
	}
	slices.SortFunc(candidates, compare)
	for i, c := range candidates {
		if c.run.Room() > inFlight+spareHosts {
			e.movedAt = now
			d.Move = &Move{Ref: c.run.Ref, Reason: c.reason}
			d.stay(Turn, len(candidates)-i-1)
			return d
		}
		d.stay(NoRoom, 1)
	}
	return d
}

func (d *Decision) stay(why Reason, count int) {
	if count > 0 {
		d.Stays[why] += count
	}
}

// assess returns why the run could leave, or why it stays.
func (r *Run) assess() (Reason, bool) {
	switch {
	case r.Moving:
		return Leaving, false
	case !r.Confirmed:
		return Starting, false
	case r.OutFor < settleTime:
		return Settling, false
	case r.Gang:
		return Gang, false
	case r.Lasting && r.Missing >= r.MaxMissing:
		return Missing, false
	case r.Lasting:
		return Lasting, true
	case r.Remaining <= endsSoon:
		return EndsSoon, false
	case r.SavesCheckpoints && r.Unsaved <= justSaved:
		return Saved, true
	case r.SavesCheckpoints:
		return AwaitsCheckpoint, false
	case r.Unsaved+moveCost <= r.Remaining/maxCostDivisor:
		return Long, true
	}
	return CostsMore, false
}

// moveOrder lists the reasons to leave in the order in which runs leave: first
// those that have just saved, as the moment passes.
var moveOrder = []Reason{Saved, Lasting, Long}

// compare orders the candidates by reason, then by what they lose.
func compare(a, b candidate) int {
	s, t := a.run.Ref.Task, b.run.Ref.Task
	return cmp.Or(
		cmp.Compare(slices.Index(moveOrder, a.reason), slices.Index(moveOrder, b.reason)),
		cmp.Compare(a.run.Missing, b.run.Missing), cmp.Compare(a.run.Unsaved, b.run.Unsaved),
		cmp.Compare(s.Job, t.Job), cmp.Compare(s.Round, t.Round), cmp.Compare(s.Step, t.Step), cmp.Compare(s.Index, t.Index),
	)
}
