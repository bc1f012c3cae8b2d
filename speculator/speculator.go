package speculator

import (
	"slices"

	"cowslipbend.dev"
)

// Limits of the comparison of a run with its step.
const (
	// minPeers is the number of runs from which the median of a step is used
	// alone. It is the smallest number at which one outlier does not move the
	// median to itself.
	minPeers = 3
	// outlierFactor is the projected length, in multiples of what the step takes,
	// from which a run is an outlier. Tasks of one step differ by up to 0.3.
	outlierFactor = 1.8
	// fewPeersFactor replaces outlierFactor while fewer than minPeers runs are
	// known, as expected lengths are less reliable than measured ones.
	fewPeersFactor = 3
	// minObserved is the share of what the step takes for which a run must have
	// been observed, and minSpan the shortest time: hosts list progress in whole
	// per cent twice a second.
	minObserved = 0.25
	minSpan     = 200 * cowslipbend.Millisecond
	// sampledFactor and minSampled replace outlierFactor and minObserved for runs
	// whose work is known only from samples of the processors in use: the pace of
	// a filling run changes several times a second.
	sampledFactor = 2.5
	minSampled    = 0.6
	// lateLists is the age of the last list from which a run counts as not
	// heard of: two and a half report intervals.
	lateLists = 1300 * cowslipbend.Millisecond
	// minOverdue is the shortest time after the projected end from which a run
	// that is not heard of is an outlier. It exceeds usual delays of reports.
	minOverdue = cowslipbend.Second
)

// Limits of copies and moves.
const (
	// startDelay is the time from the decision on a run to its start: a commit,
	// an order and a start.
	startDelay = 150 * cowslipbend.Millisecond
	// copyMargin is the remaining time of a run, in multiples of that of a copy,
	// from which the copy is likely to end first.
	copyMargin = 1.3
	// moveMargin replaces copyMargin for a move, which stops the run before the
	// next one starts and so loses time if it is slow again.
	moveMargin = 1.5
	// minMoveGain is the shortest time that a move must save. It exceeds the time
	// that stopping a run takes.
	minMoveGain = 400 * cowslipbend.Millisecond
	// minRate is the lowest rate at which a slowed run is taken to work: a paused
	// one goes on some time.
	minRate = 0.05
	// budgetShare is the share of the processors in use that copies may take.
	budgetShare = 0.05
	// maxOutlierShare is the share of outliers among the observed runs above
	// which the load is the cause. It is used from minObservedRuns runs on.
	maxOutlierShare = 0.5
	minObservedRuns = 4
)

// Progress is what is known of a run.
type Progress struct {
	// Observed is the time in which the run advanced by Advanced per cent, by the
	// times of the lists of its host. Percent is its progress at the end of it.
	Observed cowslipbend.Span
	Advanced int
	Percent  int
	// Age is the time since the list that shows Percent, or since the start of
	// a run that has not been listed.
	Age cowslipbend.Span
	// Sampled is set if Observed was computed from samples of the processors in
	// use.
	Sampled bool
}

// projected returns the shortest length of the whole task at the speed observed:
// lists have whole per cents, so that a run may have nearly reached the next one.
func (p Progress) projected() cowslipbend.Span {
	return p.Observed * 100 / cowslipbend.Span(max(p.Advanced+1, 1))
}

// remaining returns the time from the last list to the end at the speed observed.
func (p Progress) remaining() cowslipbend.Span {
	return p.projected() * cowslipbend.Span(100-min(p.Percent, 100)) / 100
}

// Length returns the projected length of the run as a sample of its step, or
// false if it was not observed for long enough.
func (p Progress) Length() (cowslipbend.Span, bool) {
	return p.projected(), p.Observed >= minSpan
}

// Typical is what a run of a step takes.
type Typical struct {
	Length cowslipbend.Span
	// Peers is the number of runs that it was taken from.
	Peers int
}

// TypicalOf returns what a run of a step takes: the median of the lengths of its
// runs. Too few runs count only if they are longer than expected.
func TypicalOf(lengths []cowslipbend.Span, expected cowslipbend.Span) Typical {
	if len(lengths) == 0 {
		return Typical{Length: expected}
	}
	slices.Sort(lengths)
	t := Typical{Length: lengths[(len(lengths)-1)/2], Peers: len(lengths)}
	if t.Peers < minPeers {
		t.Length = max(t.Length, expected)
	}
	return t
}

// factor returns the multiple of the typical length at which a run is an outlier.
func (t Typical) factor(p Progress) float64 {
	switch {
	case t.Peers < minPeers:
		return fewPeersFactor
	case p.Sampled:
		return sampledFactor
	}
	return outlierFactor
}

// Observable reports whether a run has been observed for long enough to compare
// it with its step.
func (t Typical) Observable(p Progress) bool {
	share := minObserved
	if p.Sampled {
		share = minSampled
	}
	return t.Length > 0 && p.Observed >= minSpan && float64(p.Observed) >= share*float64(t.Length)
}

// IsOutlier reports whether a run stands out: by its progress, or because nothing
// has been heard of it until well after its projected end.
func (t Typical) IsOutlier(p Progress) bool {
	if t.Length <= 0 {
		return false
	}
	if t.Observable(p) && float64(p.projected()) >= t.factor(p)*float64(t.Length) {
		return true
	}
	return p.Age >= lateLists && p.Age >= t.expectedRemaining(p)+max(t.Length, minOverdue)
}

// expectedRemaining returns the time from the last list to the expected end of
// a run: at its own speed if that is known, otherwise as its step takes.
func (t Typical) expectedRemaining(p Progress) cowslipbend.Span {
	if t.Observable(p) {
		return p.remaining()
	}
	return t.Length * cowslipbend.Span(100-min(p.Percent, 100)) / 100
}

// IsLoad reports whether so many of the observed runs are outliers that the load
// is the cause.
func IsLoad(outliers, observed int) bool {
	return observed >= minObservedRuns && float64(outliers) > maxOutlierShare*float64(observed)
}

// CopyEndsFirst reports whether a copy of an outlier that starts now on a host of
// the speed (1 is usual) is likely to end before it. Of a run that is overdue and
// not heard of it is, as its host has to answer before anything else is known.
func (t Typical) CopyEndsFirst(p Progress, speed float64) bool {
	left := t.expectedRemaining(p) - p.Age
	if left <= 0 {
		return p.Age >= lateLists
	}
	return float64(left) >= copyMargin*float64(t.copyLength(0, speed))
}

// MoveGains reports whether an outlier is likely to end later than a run that
// starts anew on a host of the speed, from a checkpoint at saved per cent. A run
// that is not heard of can't be stopped and stays.
func (t Typical) MoveGains(p Progress, saved int, speed float64) bool {
	if p.Age >= lateLists || !t.Observable(p) {
		return false
	}
	left, other := p.remaining()-p.Age, t.copyLength(saved, speed)
	return float64(left) >= moveMargin*float64(other) && left-other >= minMoveGain
}

// SlowedMoveGains reports whether a run that is slowed to a rate from 0 to 1 by
// what runs beside it is likely to end later than one that starts anew at the
// speed elsewhere, from a checkpoint at saved per cent.
func SlowedMoveGains(percent, saved int, rate, speed float64) bool {
	here := float64(100-min(percent, 100)) / max(rate, minRate)
	return here >= moveMargin*float64(100-saved)/speed
}

// copyLength returns the time until a run that starts now, with a share of the
// work saved in per cent, ends.
func (t Typical) copyLength(saved int, speed float64) cowslipbend.Span {
	if speed <= 0 {
		speed = 1
	}
	return startDelay + cowslipbend.Span(float64(t.Length)*float64(100-saved)/100/speed)
}

// Budget bounds the processors that copies take.
type Budget struct {
	// InUse is the processors that all runs have reserved, Copies those of the
	// copies among them.
	InUse, Copies cowslipbend.Millicores
}

// Allows reports whether a copy that reserves the processors is within the
// budget. One copy at a time always is, so that small pools have copies too.
func (b Budget) Allows(cpu cowslipbend.Millicores) bool {
	return b.Copies == 0 || float64(b.Copies+cpu) <= budgetShare*float64(b.InUse)
}
